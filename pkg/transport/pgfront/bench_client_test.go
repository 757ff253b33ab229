package pgfront_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"gypsumdock/pkg/protocol/scramauth"
)

// benchClient is a PostgreSQL client with little overhead of its own.
type benchClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (c *benchClient) close() { _ = c.conn.Close() }

func (c *benchClient) run(b *testing.B, statement []byte, count int, pause time.Duration, index int) []time.Duration {
	latencies := make([]time.Duration, 0, count)
	time.Sleep(pause * time.Duration(index) / benchCallers)
	for range count {
		time.Sleep(pause)
		start := time.Now()
		if err := c.query(statement); err != nil {
			b.Error(err)
			return latencies
		}
		latencies = append(latencies, time.Since(start))
	}
	return latencies
}

func (c *benchClient) query(statement []byte) error {
	if _, err := c.conn.Write(statement); err != nil {
		return err
	}
	for {
		kind, _, err := readMessage(c.reader)
		if err != nil {
			return err
		}
		switch kind {
		case 'E':
			return errors.New("the server answered with an ErrorResponse")
		case 'Z':
			return nil
		}
	}
}

// readMessage reads a message that fits the buffer of r. The body is valid until the
// next read.
func readMessage(r *bufio.Reader) (byte, []byte, error) {
	header, err := r.Peek(5)
	if err != nil {
		return 0, nil, err
	}
	kind := header[0]
	length := int(binary.BigEndian.Uint32(header[1:])) + 1
	message, err := r.Peek(length)
	if err != nil {
		return 0, nil, err
	}
	_, err = r.Discard(length)
	return kind, message[5:], err
}

func (r *benchSetup) dial(b *testing.B, address string) *benchClient {
	conn, err := net.Dial("tcp", address)
	must(b, err)
	return r.dialOn(b, conn)
}

// dialOn logs in over conn.
func (r *benchSetup) dialOn(b *testing.B, conn net.Conn) *benchClient {
	client := &benchClient{conn: conn, reader: bufio.NewReaderSize(conn, 2048)}
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "crane", "database": "plugs"},
	}
	_, err := conn.Write(encode(startup))
	must(b, err)
	must(b, client.logIn(r.login.NewConversation()))
	return client
}

func (c *benchClient) logIn(conversation *scram.ClientConversation) error {
	for {
		kind, body, err := readMessage(c.reader)
		if err != nil {
			return err
		}
		switch kind {
		case 'R':
			err = c.answer(conversation, body)
		case 'Z':
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *benchClient) answer(conversation *scram.ClientConversation, body []byte) error {
	request := ""
	switch binary.BigEndian.Uint32(body) {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeSASL:
	default:
		request = string(body[4:])
	}
	answer, err := conversation.Step(request)
	if err != nil || answer == "" {
		return err
	}
	message := pgproto3.Message(&pgproto3.SASLResponse{Data: []byte(answer)})
	if request == "" {
		message = &pgproto3.SASLInitialResponse{AuthMechanism: scramauth.Mechanism, Data: []byte(answer)}
	}
	_, err = c.conn.Write(encode(message))
	return err
}

// serveCannedAnswers accepts connections and answers queries with fixed, already
// encoded messages.
func serveCannedAnswers(listener net.Listener, verifier string) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go sendCannedAnswers(connection, verifier)
	}
}

func sendCannedAnswers(connection net.Conn, verifier string) {
	defer connection.Close()
	login := &upstreamConn{
		upstream: &upstream{verifier: verifier, conns: make(map[uint32]*upstreamConn)},
		conn:     connection,
		wire:     pgproto3.NewBackend(connection, connection),
		status:   'I',
	}
	if !login.login() {
		return
	}
	ready := encode(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	row := func(value string) []byte {
		description := encode(rowDescription)
		data := encode(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
		return slices.Concat(description, data, encode(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}), ready)
	}
	read := row("quay-east/7")
	position := row("0/16B3748")
	write := slices.Concat(encode(&pgproto3.CommandComplete{CommandTag: []byte("UPDATE 1")}), ready)
	reader := bufio.NewReader(connection)
	output := []byte(nil)
	for {
		_, body, err := readMessage(reader)
		switch {
		case err != nil:
			return
		case bytes.HasPrefix(body, []byte("UPDATE")):
			output = append(output, write...)
		case bytes.HasPrefix(body, []byte("SELECT pg_cur")):
			output = append(output, position...)
		default:
			output = append(output, read...)
		}
		if reader.Buffered() > 0 {
			continue
		}
		if _, err := connection.Write(output); err != nil {
			return
		}
		output = output[:0]
	}
}
