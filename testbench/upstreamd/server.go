package upstreamd

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	defaultListen = "127.0.0.1"
	// relistenWait is the pause between attempts to take a port again.
	relistenWait     = 10 * time.Millisecond
	relistenAttempts = 200
)

// Server hosts groups of upstreams. Close ends it.
type Server struct {
	listen  string
	groups  []*group
	log     *execLog
	control *http.Server
	layout  Layout
	tasks   sync.WaitGroup
}

// Start opens all listeners of spec.
func Start(spec Spec) (*Server, error) {
	s := &Server{listen: spec.Listen, log: newExecLog(spec.LogLimit)}
	if s.listen == "" {
		s.listen = defaultListen
	}
	for _, groupSpec := range spec.Groups {
		g := newGroup(groupSpec, s.log)
		s.groups = append(s.groups, g)
		placed, err := s.openGroup(g)
		if err != nil {
			return nil, errors.Join(err, s.Close())
		}
		s.layout.Groups = append(s.layout.Groups, placed)
	}
	if err := s.startControl(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

// Layout returns the addresses of the listeners.
func (s *Server) Layout() Layout { return s.layout }

// Close closes all listeners and connections and waits for their goroutines.
func (s *Server) Close() error {
	var err error
	if s.control != nil {
		err = s.control.Close()
	}
	for _, g := range s.groups {
		g.mu.Lock()
		for _, n := range g.nodes {
			n.stop()
		}
		g.mu.Unlock()
	}
	s.tasks.Wait()
	return err
}

func (s *Server) openGroup(g *group) (GroupLayout, error) {
	placed := GroupLayout{
		ID: g.id, Database: g.spec.Database, User: g.spec.User, Password: g.spec.Password,
	}
	for _, n := range g.nodes {
		address, err := s.open(n)
		if err != nil {
			return placed, err
		}
		placed.Upstreams = append(placed.Upstreams, UpstreamLayout{
			ID: n.id, Address: address, Slots: n.spec.Slots, Connections: n.spec.Connections,
		})
	}
	return placed, nil
}

// open starts to listen for n. A node that listened before takes its old port.
func (s *Server) open(n *node) (string, error) {
	address := net.JoinHostPort(s.listen, strconv.Itoa(n.spec.Port))
	listener, err := net.Listen("tcp", address)
	for attempt := 0; err != nil && n.spec.Port != 0 && attempt < relistenAttempts; attempt++ {
		time.Sleep(relistenWait)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s", n.id)
	}
	n.spec.Port = listener.Addr().(*net.TCPAddr).Port
	alive, kill := context.WithCancel(context.Background())
	n.mu.Lock()
	n.alive, n.kill = alive, kill
	n.down = false
	if !n.advertised.IsValid() {
		n.advertised = listener.Addr().(*net.TCPAddr).AddrPort()
	}
	n.mu.Unlock()
	s.tasks.Add(2)
	go func() {
		defer s.tasks.Done()
		<-alive.Done()
		_ = listener.Close()
	}()
	go func() {
		defer s.tasks.Done()
		s.accept(alive, n, listener)
	}()
	return listener.Addr().String(), nil
}

func (s *Server) accept(alive context.Context, n *node, listener net.Listener) {
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		s.tasks.Add(1)
		go func() {
			defer s.tasks.Done()
			serve(alive, n, raw)
		}()
	}
}

// stop closes the node's listener and connections. The caller holds the mutex.
func (n *node) stop() {
	n.down = true
	n.kill()
	n.thaw()
}

func (n *node) thaw() {
	if n.frozen() {
		close(n.thawed)
	}
}

func (s *Server) group(id string) (*group, error) {
	for _, g := range s.groups {
		if g.id == id {
			return g, nil
		}
	}
	return nil, errors.Errorf("no group %q", id)
}
