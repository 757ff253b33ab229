package pgwire

import "github.com/go-faster/errors"

// EncodedMessages is a sequence of complete frontend messages in their wire form. It
// is a pgproto3.FrontendMessage, so that it can be sent like one message; the buffer
// must not change until it has been sent.
type EncodedMessages []byte

// Frontend marks EncodedMessages as a frontend message.
func (EncodedMessages) Frontend() {}

// Decode always returns an error, as EncodedMessages is never received.
func (EncodedMessages) Decode([]byte) error { return errors.New("encoded messages are not decoded") }

// Encode appends the messages to dst.
func (e EncodedMessages) Encode(dst []byte) ([]byte, error) { return append(dst, e...), nil }
