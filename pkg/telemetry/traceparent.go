package telemetry

import (
	"context"
	"net/url"
	"strings"

	"go.opentelemetry.io/otel/propagation"
)

const (
	traceparentKey = "traceparent"
	commentOpen    = "/*"
	commentClose   = "*/"
)

// Traceparent returns the W3C trace context that a statement carries as a
// sqlcommenter comment, such as /*traceparent='00-...-01'*/, or "". The
// comment stands at the start or the end of the statement.
func Traceparent(statement string) string {
	trimmed := strings.TrimRight(statement, "; \t\r\n")
	if strings.HasSuffix(trimmed, commentClose) {
		if start := strings.LastIndex(trimmed, commentOpen); start >= 0 {
			if value := commentValue(trimmed[start+len(commentOpen):len(trimmed)-len(commentClose)], traceparentKey); value != "" {
				return value
			}
		}
	}
	leading, found := strings.CutPrefix(strings.TrimLeft(statement, " \t\r\n"), commentOpen)
	if !found {
		return ""
	}
	comment, _, _ := strings.Cut(leading, commentClose)
	return commentValue(comment, traceparentKey)
}

// commentValue returns the value of a key in the text of a sqlcommenter
// comment: key='url-encoded value', separated by commas.
func commentValue(comment, key string) string {
	for pair := range strings.SplitSeq(comment, ",") {
		name, quoted, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || name != key || len(quoted) < 2 || quoted[0] != '\'' || quoted[len(quoted)-1] != '\'' {
			continue
		}
		value, err := url.QueryUnescape(quoted[1 : len(quoted)-1])
		if err == nil {
			return value
		}
	}
	return ""
}

// Inject returns the trace context of ctx in the form that Forwarded takes,
// or "" outside a trace.
func (t *Tracer) Inject(ctx context.Context) string {
	if t == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// withRemote sets the caller's trace context; one that is malformed is
// ignored.
func withRemote(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentKey: traceparent})
}
