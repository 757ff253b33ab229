package pgwire

// beginOptions are the transaction modes of a BEGIN that matter to the proxy.
type beginOptions struct {
	readOnly bool
}

// parseBegin parses the words of a BEGIN or START TRANSACTION. It returns false if
// the statement is not well-formed.
func parseBegin(words []string) (beginOptions, bool) {
	options := beginOptions{}
	rest := words[1:]
	switch {
	case words[0] == "start":
		if len(rest) == 0 || rest[0] != "transaction" {
			return options, false
		}
		rest = rest[1:]
	case len(rest) > 0 && (rest[0] == "work" || rest[0] == "transaction"):
		rest = rest[1:]
	}
	for len(rest) > 0 {
		used := beginMode(rest, &options)
		if used == 0 {
			return options, false
		}
		rest = rest[used:]
	}
	return options, true
}

// beginModes are PostgreSQL's transaction modes.
var beginModes = [][]string{
	{"isolation", "level", "serializable"},
	{"isolation", "level", "repeatable", "read"},
	{"isolation", "level", "read", "committed"},
	{"isolation", "level", "read", "uncommitted"},
	{"read", "write"},
	{"read", "only"},
	{"not", "deferrable"},
	{"deferrable"},
}

// beginMode returns the number of words of the mode at the start of words, or zero
// if there is none. It records the mode in options.
func beginMode(words []string, options *beginOptions) int {
	for _, mode := range beginModes {
		if !hasPrefix(words, mode) {
			continue
		}
		if mode[0] == "read" {
			options.readOnly = mode[1] == "only"
		}
		return len(mode)
	}
	return 0
}

func hasPrefix(words, prefix []string) bool {
	if len(words) < len(prefix) {
		return false
	}
	for i := range prefix {
		if words[i] != prefix[i] {
			return false
		}
	}
	return true
}
