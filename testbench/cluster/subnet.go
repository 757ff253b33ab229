package cluster

import (
	"fmt"
	"net"
	"os"

	"github.com/go-faster/errors"
)

const (
	// lockPort is the port whose listener reserves a subnet.
	lockPort = 20000
	// subnets is the number of subnets that are tried.
	subnets = 4096
	// firstHost and lastHost bound the addresses that are given out.
	firstHost = 1
	lastHost  = 250
	lockHost  = 254
)

// subnet is a reserved /24 of the loopback network. Nothing else listens on
// its addresses, and outgoing connections leave from 127.0.0.1; so a port that
// was free once stays free.
type subnet struct {
	prefix string
	lock   net.Listener
	next   int
}

// reserve takes a subnet that no other process holds.
func reserve() (*subnet, error) {
	start := os.Getpid()
	for i := range subnets {
		number := (start + i) % subnets
		prefix := fmt.Sprintf("127.%d.%d", 64+number/256, number%256)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, lockHost, lockPort))
		if err == nil {
			return &subnet{prefix: prefix, lock: lock, next: firstHost}, nil
		}
	}
	return nil, errors.New("no free loopback subnet")
}

// host returns an address that was not given out before.
func (s *subnet) host() (string, error) {
	if s.next > lastHost {
		return "", errors.New("loopback subnet used up")
	}
	host := fmt.Sprintf("%s.%d", s.prefix, s.next)
	s.next++
	return host, nil
}

// ports returns host with as many free ports, which differ. All are held until the
// last one is found: a port that was free once may be found again.
func ports(host string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (s *subnet) release() error { return s.lock.Close() }
