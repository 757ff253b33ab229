package pgwire

import (
	"net/url"
	"strings"
)

// Limits on comments and on the values in them, in bytes.
const (
	maxCommentLen = 2048
	maxTagLen     = 256
)

// Tags are the sqlcommenter keys that the proxy knows.
type Tags struct {
	// Route is the key "route".
	Route string
	// Traceparent is the W3C trace context.
	Traceparent string
}

// addComment reads the keys of one comment. Of several values of a key, the first
// is kept. Comments and values above the limits are ignored.
func (t *Tags) addComment(comment string) {
	if len(comment) > maxCommentLen {
		return
	}
	body, found := strings.CutPrefix(comment, "/*")
	if !found {
		return
	}
	body = strings.TrimSuffix(body, "*/")
	for pair := range strings.SplitSeq(body, ",") {
		t.addPair(strings.TrimSpace(pair))
	}
}

func (t *Tags) addPair(pair string) {
	key, quoted, found := strings.Cut(pair, "=")
	if !found || len(quoted) < 2 || len(quoted) > maxTagLen {
		return
	}
	if quoted[0] != '\'' || quoted[len(quoted)-1] != '\'' {
		return
	}
	value, err := url.PathUnescape(quoted[1 : len(quoted)-1])
	if err != nil {
		return
	}
	switch strings.TrimSpace(key) {
	case "route":
		setOnce(&t.Route, value)
	case "traceparent":
		setOnce(&t.Traceparent, value)
	}
}

func setOnce(field *string, value string) {
	if *field == "" {
		*field = value
	}
}
