package pgwire

import "github.com/go-faster/errors"

// EncodedMessages is a run of whole frontend messages in their wire form. It is sent
// as one message; the owner keeps the buffer until it has been sent.
type EncodedMessages []byte

// Frontend marks EncodedMessages as sendable by a frontend.
func (EncodedMessages) Frontend() {}

// Decode always fails: EncodedMessages is only sent.
func (EncodedMessages) Decode([]byte) error { return errors.New("encoded messages are not decoded") }

// Encode appends the messages to dst.
func (e EncodedMessages) Encode(dst []byte) ([]byte, error) { return append(dst, e...), nil }
