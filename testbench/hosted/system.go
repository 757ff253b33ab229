package hosted

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/headstore"
	"gypsumdock/platform"
	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/faultproxy"
)

// Options describe a system.
type Options struct {
	Instances int
	Group     GroupOptions
	// Grace is the time that an instance has for a graceful stop.
	Grace time.Duration
	// LinkMbps is the bandwidth that the settings state; zero leaves it out. With
	// little of it only the first few instances become members.
	LinkMbps float64
	// Accounts are the client accounts at the start, and Keys stands for a single
	// one with these access keys; nil for a configuration without accounts.
	// RevocationTime is the time after which a removed key must have no effect; zero
	// if the settings do not require that.
	Accounts       []Account
	Keys           []string
	RevocationTime time.Duration
	Rates          RateBounds
}

// DefaultOptions are those of a small site.
func DefaultOptions() Options {
	return Options{
		Instances: 4,
		Group: GroupOptions{
			Name: "berths", Databases: 3, MaxConnections: 24, Slots: 4,
			PromoteTime: 200 * time.Millisecond, Lag: 10 * time.Millisecond,
		},
		Grace: 4 * time.Second,
		Rates: DefaultRateBounds,
	}
}

// The databases that the routes lead to, by consistency.
const (
	DatabaseLatest  = "latest"
	DatabaseSession = "session"
	DatabaseBounded = "bounded"
)

// System is a whole deployment: instances as processes before the stand-ins.
type System struct {
	Store     *Store
	Group     *Group
	Instances []*Instance

	options Options
	dir     string
	ports   ports
	mu      sync.Mutex
	version int
	// accounts is nil for a configuration without accounts.
	accounts []Account
	// further is the number of routes besides those of the three databases.
	further int
}

// ports are the same on all instances, which have addresses of their own.
type ports struct{ callers, ready, mesh int }

// Instance is a place for a process.
type Instance struct {
	Index   int
	IP      string
	system  *System
	process *cluster.Process
	// ToStore carries the instance's calls to the store.
	ToStore *faultproxy.Proxy
	path    string
}

// startLogBytes is how much of each instance's log is printed if a system does not
// start.
const startLogBytes = 16 << 10

// Start starts a system and waits until all its instances are ready. If they are
// not, it prints the last lines of their logs.
func Start(ctx context.Context, options Options) (*System, error) {
	s := &System{options: options, version: 1, accounts: options.Accounts}
	if options.Keys != nil {
		s.accounts = append(s.accounts, keysAccount(options.Keys))
	}
	if err := s.start(ctx); err != nil {
		s.PrintLogs(os.Stderr, startLogBytes)
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	var err error
	if s.dir, err = os.MkdirTemp("", "gypsumdock-hosted-"); err != nil {
		return err
	}
	if s.Store, err = StartStore(); err != nil {
		return err
	}
	if s.Group, err = StartGroup(s.Store, s.options.Group); err != nil {
		return err
	}
	s.Configure(time.Second)
	if s.ports, err = freePorts(s.options.Instances); err != nil {
		return err
	}
	for i := range s.options.Instances {
		placed, err := s.place(i)
		if err != nil {
			return err
		}
		s.Instances = append(s.Instances, placed)
		if err := placed.Start(); err != nil {
			return err
		}
	}
	for _, placed := range s.Instances {
		if err := placed.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// FurtherDatabase returns the name of a database that AddRoutes has added; they are
// numbered from zero.
func FurtherDatabase(number int) string { return fmt.Sprintf("further-%d", number) }

// AddRoutes writes the next version of the configuration, with this many databases
// more. timeout bounds a statement.
func (s *System) AddRoutes(count int, timeout time.Duration) {
	s.mu.Lock()
	s.further += count
	s.mu.Unlock()
	s.Configure(timeout)
}

// Configure writes the next version of the configuration. timeout bounds a
// statement.
func (s *System) Configure(timeout time.Duration) {
	s.mu.Lock()
	s.version += 3
	version, accounts, further := s.version, s.accounts, s.further
	s.mu.Unlock()
	route := func(database, kind string, priority int, age int64) map[string]any {
		return map[string]any{
			"name": "r-" + database, "host": database, "prefix": "/", "kind": kind, "service": s.options.Group.Name,
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": timeout.Milliseconds() / 2,
			"priority": priority, "max_staleness_ms": age,
		}
	}
	routes := []any{
		route(DatabaseLatest, "primary", 1, 0),
		route(DatabaseSession, "read_your_writes", 2, 2500),
		route(DatabaseBounded, "bounded_staleness", 2, 1500),
	}
	for number := range further {
		routes = append(routes, route(FurtherDatabase(number), "primary", 1, 0))
	}
	fields := map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": s.options.Group.Name, "max_connections": s.options.Group.MaxConnections,
			"sync_replicas": s.options.Group.SyncReplicas,
		}},
		"limits": map[string]any{"transaction_idle_ms": 3000},
	}
	if accounts != nil {
		fields["tenants"] = tenants(accounts)
	}
	body, _ := json.Marshal(fields)
	s.Store.Put("op", "config", body)
}

// freePorts finds ports that are free on the addresses of all instances, and that
// differ. All are held until the last one is found: a port that was free once may be
// found again.
func freePorts(instances int) (ports, error) {
	var found []int
	for len(found) < 3 {
		listener, err := net.Listen("tcp", instanceIP(0)+":0")
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = listener.Close() }()
		port := listener.Addr().(*net.TCPAddr).Port
		if isFreeOnOthers(port, instances) {
			found = append(found, port)
		}
	}
	return ports{callers: found[0], ready: found[1], mesh: found[2]}, nil
}

// isFreeOnOthers reports whether the port is free on the addresses of all instances
// but the first.
func isFreeOnOthers(port, instances int) bool {
	for i := 1; i < instances; i++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(instanceIP(i), strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func instanceIP(index int) string { return fmt.Sprintf("127.0.77.%d", index+1) }

func (s *System) place(index int) (*Instance, error) {
	proxy, err := faultproxy.Start("127.0.0.1:0", s.Store.Address())
	if err != nil {
		return nil, err
	}
	i := &Instance{Index: index, IP: instanceIP(index), system: s, ToStore: proxy}
	i.path = filepath.Join(s.dir, fmt.Sprintf("instance-%d.toml", index))
	return i, os.WriteFile(i.path, []byte(i.settings()), 0o600)
}

func (i *Instance) address(port int) string { return net.JoinHostPort(i.IP, strconv.Itoa(port)) }

func (i *Instance) settings() string {
	s := i.system
	return fmt.Sprintf(`node_name = %q
ip_address = %q
zone = "zone-%d"
region = %q
internal_ports = [%d, %d]
seed_nodes = [%q]
[listen_addresses]
frontend = %q
ready = %q
[limits]
link_mbps = %g
[bounds]
grace_period_s = %g
strict_revocation = %t
revocation_ms = %d
quota_window_s = %g
quota_overage = %g
quota_slack = %g
[platform]
address = %q
[cloud_api]
address = %q
`, i.name(), i.IP, i.Index%s.options.Group.Databases, regionName, s.ports.mesh, s.ports.mesh+10, instanceIP(0)+":1",
		i.address(s.ports.callers), i.address(s.ports.ready), s.options.LinkMbps, s.options.Grace.Seconds(),
		s.options.RevocationTime > 0, s.options.RevocationTime.Milliseconds(),
		s.options.Rates.Window.Seconds(), s.options.Rates.Overage, s.options.Rates.Slack, i.ToStore.Address(), s.Group.Cloud())
}

// Start starts the instance's process.
func (i *Instance) Start() error {
	binaries, err := cluster.BuildOnce()
	if err != nil {
		return err
	}
	process, err := cluster.StartLogged(fmt.Sprintf("instance-%d", i.Index), i.LogPath(),
		[]string{"GYPSUMDOCK_CONFIG=" + i.path}, binaries.Gypsumdock, "--hosted")
	i.process = process
	return err
}

// LogPath is the file with the instance's log.
func (i *Instance) LogPath() string { return i.path + ".log" }

// Callers is the address for callers.
func (i *Instance) Callers() string { return i.address(i.system.ports.callers) }

// Process is the running process.
func (i *Instance) Process() *cluster.Process { return i.process }

// Ready reports whether the instance wants callers.
func (i *Instance) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.address(i.system.ports.ready) + "/gypsumdock/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until the instance wants callers, has ended, or ctx is done.
func (i *Instance) WaitReady(ctx context.Context) error {
	for !i.Ready() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "instance %d", i.Index)
		case <-i.process.Done():
			return errors.Errorf("instance %d ended", i.Index)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// Signal sends a signal to the instance's process.
func (i *Instance) Signal(signal syscall.Signal) error { return i.process.Signal(signal) }

// Members returns the instances that the head row lists.
func (s *System) Members(ctx context.Context) ([]*Instance, error) {
	store := platform.NewStore(s.Store.Address(), time.Second, slog.New(slog.DiscardHandler))
	defer store.Close()
	head, err := headstore.New(store, regionName).Read(ctx)
	if err != nil || head == nil {
		return nil, err
	}
	var members []*Instance
	for _, member := range head.Members {
		for _, i := range s.Instances {
			if member.Machine == i.name() {
				members = append(members, i)
			}
		}
	}
	return members, nil
}

// regionName is the region in the instances' settings.
const regionName = "region"

func (i *Instance) name() string { return fmt.Sprintf("frontend-%d", i.Index) }

// CopyLogs copies the logs of all instances into a directory, which it makes.
func (s *System) CopyLogs(into string) error {
	if err := os.MkdirAll(into, 0o755); err != nil {
		return err
	}
	for _, i := range s.Instances {
		data, err := os.ReadFile(i.LogPath())
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(into, filepath.Base(i.LogPath())), data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// PrintLogs prints the last bytes of the logs of all instances.
func (s *System) PrintLogs(to io.Writer, limit int) {
	for _, i := range s.Instances {
		data, err := os.ReadFile(i.LogPath())
		fmt.Fprintf(to, "log of %s, %d bytes, error %v\n", i.name(), len(data), err)
		_, _ = to.Write(data[max(0, len(data)-limit):])
	}
}

// Close ends everything.
func (s *System) Close() error {
	for _, i := range s.Instances {
		if i.process != nil {
			_ = i.process.Kill()
		}
		_ = i.ToStore.Close()
	}
	if s.Group != nil {
		s.Group.Close()
	}
	if s.Store != nil {
		s.Store.Close()
	}
	return os.RemoveAll(s.dir)
}
