package hosted_test

import (
	"fmt"
	"strings"
)

// nestingLevels is the depth of a deeply nested entry, beyond what decoders accept.
const nestingLevels = 20_000

// oddDatabases returns entries by another writer for the list of databases, by their
// keys. None names a database of the group that can be used.
func oddDatabases(group string) map[string]string {
	complete := func(address, slots string) string {
		return fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":"z","slots":%s,"state":"ready","database_role":"replica","born":1}`, group, address, slots)
	}
	nested := strings.Repeat("[", nestingLevels) + strings.Repeat("]", nestingLevels)
	return map[string]string{
		"nested":             nested,
		"nested-in-field":    fmt.Sprintf(`{"service":%q,"address":%s}`, group, nested),
		"nested-unclosed":    strings.Repeat(`{"a":`, nestingLevels),
		"large-float":        complete("127.0.0.1:9", "1e400"),
		"large-integer":      complete("127.0.0.1:9", "9223372036854775807"),
		"larger-integer":     complete("127.0.0.1:9", "9223372036854775808"),
		"port-too-large":     complete("127.0.0.1:65536", "2"),
		"port-zero":          complete("127.0.0.1:0", "2"),
		"port-negative":      complete("127.0.0.1:-1", "2"),
		"no-port":            complete("127.0.0.1", "2"),
		"line\r\nin-its-key": complete("127.0.0.1:9", "2"),
	}
}
