package pgwire

import "github.com/go-faster/errors"

// Encoded is a run of whole frontend messages in their wire form. It is sent
// as one message; the owner keeps the buffer until it has been sent.
type Encoded []byte

// Frontend marks Encoded as sendable by a frontend.
func (Encoded) Frontend() {}

// Decode always fails: Encoded is only sent.
func (Encoded) Decode([]byte) error { return errors.New("encoded messages are not decoded") }

// Encode appends the messages to dst.
func (e Encoded) Encode(dst []byte) ([]byte, error) { return append(dst, e...), nil }
