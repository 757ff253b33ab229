package mesh

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// byteReader reads single bytes without reading ahead, so that what follows a
// frame stays in the connection.
type byteReader struct{ io.Reader }

func (r byteReader) ReadByte() (byte, error) {
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

// writeBuffered writes m to w and everything that waits in queue, then
// flushes once.
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
