package hosted

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Client is a caller's session. It belongs to one goroutine.
type Client struct {
	socket net.Conn
	reader *bufio.Reader
	nextID int
	name   string
}

// Reply is the answer to a statement.
type Reply struct {
	Rows      []string
	Signature string
	// Code is empty for a success.
	Code  string
	Text  string
	State string
}

// promises are the codes that say that nothing is kept.
var promises = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "OVERLOADED": true,
}

// IsPromise reports whether nothing of the operation is kept.
func (r Reply) IsPromise() bool { return promises[r.Code] }

// IsNotRun reports whether the answer says that nothing was run.
func (r Reply) IsNotRun() bool { return r.IsPromise() || r.Code == "DENIED" }

// answerTimeout is the patience of a client.
const answerTimeout = 6 * time.Second

// Dial opens a session at an instance. Its name is its access key as well.
func Dial(address, database, name string) (*Client, error) {
	return DialKey(address, database, name, name)
}

// DialKey opens a session at an instance with an access key. Request IDs begin with
// the name; for a name of the form "account/rest" the databases check that the
// connection belongs to the account.
func DialKey(address, database, key, name string) (*Client, error) {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{socket: socket, reader: bufio.NewReader(socket), name: name}
	if _, err := fmt.Fprintf(socket, "START %s %s\r\n", database, key); err != nil {
		c.Close()
		return nil, err
	}
	reply, err := c.receive()
	if err != nil {
		c.Close()
		return nil, err
	}
	if reply.Code != "" {
		c.Close()
		return nil, errors.New(reply.Code)
	}
	return c, nil
}

// Close ends the session.
func (c *Client) Close() { _ = c.socket.Close() }

// Do runs a statement.
func (c *Client) Do(text string) (Reply, error) {
	id := c.NextID()
	c.nextID++
	if _, err := fmt.Fprintf(c.socket, "QUERY %s %s\r\n", id, text); err != nil {
		return Reply{}, err
	}
	return c.receive()
}

// NextID returns the request ID of the next statement.
func (c *Client) NextID() string { return fmt.Sprintf("%s-%d", c.name, c.nextID+1) }

func (c *Client) receive() (Reply, error) {
	_ = c.socket.SetReadDeadline(time.Now().Add(answerTimeout))
	var reply Reply
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return reply, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			reply.Rows = append(reply.Rows, rest)
		case "COMPLETE":
			reply.Signature = rest
		case "ERROR":
			reply.Code, reply.Text, _ = strings.Cut(rest, " ")
			if c.nextID == 0 {
				return reply, nil
			}
		case "READY":
			reply.State, _, _ = strings.Cut(rest, " ")
			return reply, nil
		default:
			return reply, errors.Errorf("unexpected line %q", line)
		}
	}
}
