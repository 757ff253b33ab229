package pgfront_test

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/transport/pgfront"
)

// fuzzTimeout bounds the wait for the end of a session whose caller has disconnected.
const fuzzTimeout = 10 * time.Second

func encodeAll(messages ...pgproto3.FrontendMessage) []byte {
	encoded := []byte(nil)
	for _, message := range messages {
		encoded = slices.Concat(encoded, encode(message))
	}
	return encoded
}

// FuzzMessages sends arbitrary bytes as an authenticated caller. The session must end
// when its caller disconnects, and return its ticket.
func FuzzMessages(f *testing.F) {
	b, err := startTestbed(2, func(c *pgfront.Config) { c.MaxMessageBytes = 1 << 16 })
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(b.close)
	f.Add(encodeAll(query("begin"), query("insert a"), query("commit")))
	f.Add(encodeAll(parse("s", "select $1"), bind("s"), execute, flush, syncAll, query("fail")))
	f.Add(encodeAll(query("begin"), parse("", "copy t"), bind(""), execute, syncAll, query("rollback")))
	f.Add(encodeAll(&pgproto3.FunctionCall{}, &pgproto3.CopyDone{}, flush, syncAll, &pgproto3.Terminate{}))
	f.Add(encodeAll(&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Describe{ObjectType: 'P'}, syncAll))
	f.Add([]byte{'Q', 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			b.server.ServeAuthenticated(far, "crane", "plugs")
			_ = far.Close()
		}()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_, _ = near.Write(data)
		_ = near.Close()
		select {
		case <-ended:
		case <-time.After(fuzzTimeout):
			t.Fatal("the session did not end within 10 s after its caller disconnected")
		}
		if b.engine.InFlight() != 0 {
			t.Fatal("the session ended without returning its ticket to the engine")
		}
	})
}
