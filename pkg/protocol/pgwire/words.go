package pgwire

// pureFunctions are built-in functions that neither write nor change the state of
// the session, and keywords and types that may precede a parenthesis.
var pureFunctions = newWordSet(
	"abs", "array_agg", "array_length", "avg", "bool_and", "bool_or", "btrim", "cardinality", "cast", "ceil",
	"ceiling", "char_length", "coalesce", "concat", "count", "date_part", "date_trunc", "dense_rank", "every", "exists",
	"extract", "first_value", "floor", "format", "greatest", "jsonb_agg", "json_agg", "jsonb_build_object",
	"json_build_object", "lag", "last_value", "lead", "least", "left", "length", "lower", "ltrim", "max", "md5", "min",
	"mod", "now", "nullif", "octet_length", "overlay", "position", "power", "rank", "replace", "right", "round",
	"row", "row_number", "rtrim", "sign", "split_part", "sqrt", "statement_timestamp", "stddev", "string_agg", "strpos",
	"substring", "sum", "to_char", "to_date", "to_number", "to_timestamp", "trim", "trunc", "unnest", "upper", "variance",
	"version", "clock_timestamp", "current_date", "current_time", "current_timestamp", "localtime", "localtimestamp",

	"all", "and", "any", "array", "as", "between", "by", "case", "conflict", "cube", "distinct", "else", "except",
	"filter", "from", "group", "grouping", "having", "ilike", "in", "intersect", "is", "join", "lateral", "like", "limit",
	"not", "offset", "on", "or", "order", "over", "partition", "returning", "rollup", "select", "set", "sets", "some",
	"then", "union", "using", "values", "when", "where", "with", "within",

	"bit", "char", "character", "decimal", "float", "interval", "numeric", "time", "timestamp", "timestamptz", "varchar",
)

// writingWords are words with which a SELECT does not count as read-only.
var writingWords = newWordSet(
	"into", "for", "insert", "update", "delete", "merge", "truncate", "call", "execute", "copy",
)

// sessionKeywords are first words of statements that may change the state of the
// session.
var sessionKeywords = newWordSet(
	"set", "reset", "listen", "unlisten", "prepare", "deallocate", "discard", "declare", "load", "do", "call",
)

// otherWords are further words that the classifier knows.
var otherWords = newWordSet(
	"abort", "begin", "commit", "committed", "constraints", "deferrable", "end", "isolation", "level", "local",
	"only", "prepared", "read", "repeatable", "rollback", "serializable", "show", "start",
	"temp", "temporary", "transaction", "uncommitted", "work", "write",
)

// knownWords maps each known word to itself.
var knownWords = newKnownWords(pureFunctions, writingWords, sessionKeywords, otherWords)

func newKnownWords(sets ...wordSet) map[string]string {
	all := make(map[string]string)
	for _, set := range sets {
		for word := range set {
			all[word] = word
		}
	}
	return all
}

// maxKnownWord is an upper bound on the length of known words, in bytes.
const maxKnownWord = 32

// fold returns a known word in lower case, without allocating. It returns other
// words unchanged.
func fold(word string) string {
	if len(word) > maxKnownWord {
		return word
	}
	var buffer [maxKnownWord]byte
	for i := range len(word) {
		c := word[i]
		if c >= 'A' && c <= 'Z' {
			c |= lowerCaseBit
		}
		buffer[i] = c
	}
	known, found := knownWords[string(buffer[:len(word)])]
	if !found {
		return word
	}
	return known
}

// wordSet is a set of words in lower case.
type wordSet map[string]struct{}

func newWordSet(words ...string) wordSet {
	set := make(wordSet, len(words))
	for _, word := range words {
		set[word] = struct{}{}
	}
	return set
}

func (s wordSet) has(word string) bool {
	_, found := s[word]
	return found
}
