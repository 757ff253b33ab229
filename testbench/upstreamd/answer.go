package upstreamd

import (
	"net"
	"strings"
	"sync"

	"github.com/go-faster/errors"
)

// AnswerCut ends the connection in the middle of an answer, once.
type AnswerCut struct {
	// Match is part of the statement whose answer is cut.
	Match string `json:"match"`
	// Bytes is the length of the answer that still goes out.
	Bytes int `json:"bytes"`
}

// takeCut returns the cut that is set for the statement and forgets it.
func (n *node) takeCut(text string) *AnswerCut {
	n.mu.Lock()
	defer n.mu.Unlock()
	cut := n.cutAnswer
	if cut == nil || !strings.Contains(text, cut.Match) {
		return nil
	}
	n.cutAnswer = nil
	return cut
}

var errCut = errors.New("answer cut")

// answerWriter passes bytes on until its limit, then closes the connection.
type answerWriter struct {
	conn net.Conn

	mu      sync.Mutex
	limited bool
	left    int
}

func newAnswerWriter(conn net.Conn) *answerWriter { return &answerWriter{conn: conn} }

func (w *answerWriter) cutAfter(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limited, w.left = true, bytes
}

// Write implements io.Writer.
func (w *answerWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limited {
		return w.conn.Write(data)
	}
	count := min(w.left, len(data))
	written, err := w.conn.Write(data[:count])
	w.left -= written
	if err != nil {
		return written, err
	}
	if count == len(data) {
		return written, nil
	}
	return written, errors.Join(errCut, w.conn.Close())
}
