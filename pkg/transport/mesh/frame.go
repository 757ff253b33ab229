package mesh

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// unbufferedReader reads single bytes without reading ahead, so that the bytes
// after a frame stay in the connection for its next reader.
type unbufferedReader struct{ io.Reader }

func (r unbufferedReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(r.Reader, one[:])
	return one[0], err
}

// readFrame reads one length-delimited message of at most limit bytes.
func readFrame(r protodelim.Reader, limit int64, m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: limit}
	return options.UnmarshalFrom(r, m)
}

// writeFrame writes one length-delimited message.
func writeFrame(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// writeBuffered writes m and all messages that are already in queue to w, then
// flushes w once.
func writeBuffered[M proto.Message](w *bufio.Writer, m M, queue <-chan M) error {
	if err := writeFrame(w, m); err != nil {
		return err
	}
	for range len(queue) {
		if err := writeFrame(w, <-queue); err != nil {
			return err
		}
	}
	return w.Flush()
}
