package pgwire_test

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/pgwire"
)

// FuzzClassify checks that no text makes the classifier panic, that only complete
// single statements count as reads, and that a text with a second statement that
// writes does not.
func FuzzClassify(f *testing.F) {
	f.Add("select 'a' /* b */ -- c")
	f.Add("begin read only; select $x$ ; $x$")
	f.Add(`select E'\'' U&"a" u&'b' 1.5e3 $1`)
	f.Add("/*route='a%20b',traceparent='00-1-2-3'*/ insert into t (a) values (f(1))")
	f.Fuzz(func(t *testing.T, text string) {
		class := pgwire.Classify(text)
		if class.ReadOnly && (class.MultipleStatements || class.Ambiguous) {
			t.Fatalf("classified as read-only, but not one complete statement: %q", text)
		}
		lower := strings.ToLower(text)
		if class.ReadOnly && !strings.Contains(lower, "select") &&
			!strings.Contains(lower, "show") && !strings.Contains(lower, "read only") &&
			class.Keyword != "begin" && class.Keyword != "start" {
			t.Fatalf("classified as read-only, but without a reading keyword: %q", text)
		}
		if class.ReadOnly {
			longer := pgwire.Classify(text + "\n; delete from t")
			if longer.ReadOnly {
				t.Fatalf("still classified as read-only with a DELETE appended: %q", text)
			}
		}
	})
}

// FuzzStartup checks that no startup packet makes the parser panic.
func FuzzStartup(f *testing.F) {
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "crane", "options": "-c gypsumdock.session=a"},
	}
	for _, message := range []pgproto3.FrontendMessage{
		startup, &pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{},
		&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}},
	} {
		packet, err := message.Encode(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packet[pgwire.StartupHeaderLen:])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		message, err := pgwire.ParseStartup(body)
		if err != nil {
			return
		}
		if startup, ok := message.(*pgproto3.StartupMessage); ok {
			_, _ = pgwire.ReadStartup(startup, "gypsumdock.session")
		}
	})
}
