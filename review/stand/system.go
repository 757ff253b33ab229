package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Instance is a machine of the system with its process.
type Instance struct {
	name, ip, zone string
	settings       string
	logPath        string
	sys            *System
	process        *exec.Cmd
	done           chan struct{}
}

// System is a small deployment: four machines in three zones, three services with
// three databases each, the platform's store and its cloud API.
type System struct {
	dir       string
	program   []string
	rec       *Recorder
	store     *Store
	groups    map[string]*Group
	names     []string
	cloud     string
	ports     [3]int
	instances []*Instance
	version   int
	config    []byte
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startSystem starts the stand-ins and the project's program on four machines, and
// waits until all are ready.
func startSystem(program []string, rec *Recorder) (*System, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &System{dir: dir, program: program, rec: rec, groups: map[string]*Group{}, version: 7}
	if s.store, err = startStore(rec); err != nil {
		return nil, err
	}
	for _, name := range []string{"alpha", "beta", "gamma"} {
		g, err := startGroup(name, zones, s.store, rec)
		if err != nil {
			return nil, err
		}
		s.groups[name] = g
		s.names = append(s.names, name)
	}
	cloud, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", promote(s.groups))
	go func() { _ = http.Serve(cloud, mux) }()
	s.cloud = cloud.Addr().String()
	s.configure()
	go s.operator()
	for i := range 4 {
		s.instances = append(s.instances, &Instance{
			name: fmt.Sprintf("frontend-%d", i+1), ip: fmt.Sprintf("127.0.83.%d", i+1), zone: zones[max(0, i-1)], sys: s,
		})
	}
	if err := s.choosePorts(); err != nil {
		return s, err
	}
	for _, i := range s.instances {
		if err := i.prepare(); err != nil {
			return s, err
		}
		if err := i.start(); err != nil {
			return s, err
		}
	}
	for _, i := range s.instances {
		if !i.waitReady(15 * time.Second) {
			return s, fmt.Errorf("%s is not ready", i.name)
		}
	}
	return s, nil
}

// configure writes the next version of the configuration.
func (s *System) configure() {
	routes := []any{}
	for _, name := range s.names {
		add := func(kind, suffix string, timeout, priority, age int) {
			routes = append(routes, map[string]any{
				"name": "r-" + name + suffix, "host": name + suffix, "prefix": "/", "kind": kind, "timeout_ms": timeout,
				"target_latency_ms": 120, "priority": priority, "service": name, "max_staleness_ms": age, "max_attempts": 2,
			})
		}
		add("primary", "-p", 800, 1, 0)
		add("read_your_writes", "-w", 800, 2, 2500)
		add("bounded_staleness", "-b", 1500, 2, 1500)
	}
	services := []any{}
	for _, name := range s.names {
		services = append(services, map[string]any{"name": name, "max_connections": 16, "sync_replicas": 0})
	}
	s.config, _ = json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "services": services, "limits": map[string]any{"transaction_idle_ms": 3000},
	})
	s.store.Put("op", "config", s.config)
}

// operator writes the configuration again if the store has lost it.
func (s *System) operator() {
	for {
		time.Sleep(200 * time.Millisecond)
		if stored, found := s.store.Get("op", "config"); !found || string(stored) != string(s.config) {
			s.store.Put("op", "config", s.config)
		}
	}
}

func (s *System) choosePorts() error {
	for n := range s.ports {
		for {
			listener, err := net.Listen("tcp", s.instances[0].ip+":0")
			if err != nil {
				return err
			}
			s.ports[n] = listener.Addr().(*net.TCPAddr).Port
			_ = listener.Close()
			if s.portIsFree(s.ports[n]) && (n == 0 || s.ports[n] != s.ports[n-1]) {
				break
			}
		}
	}
	return nil
}

func (s *System) portIsFree(port int) bool {
	for _, i := range s.instances {
		for extra := range 11 {
			listener, err := net.Listen("tcp", net.JoinHostPort(i.ip, strconv.Itoa(port+extra)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (i *Instance) callers() string { return net.JoinHostPort(i.ip, strconv.Itoa(i.sys.ports[0])) }

// prepare writes the settings file as the page on deployment shows it.
func (i *Instance) prepare() error {
	s := i.sys
	i.settings = filepath.Join(s.dir, i.name+".toml")
	i.logPath = filepath.Join(s.dir, i.name+".log")
	seeds := []string{}
	for _, other := range s.instances[:3] {
		seeds = append(seeds, strconv.Quote(net.JoinHostPort(other.ip, strconv.Itoa(s.ports[1]+5))))
	}
	text := fmt.Sprintf(`node_name = %q
role = "proxy"
machine_class = "frontend"
serves = ["frontend","control"]
ip_address = %q
zone = %q
region = "review-region"
internal_ports = [%d,%d]
seed_nodes = [%s]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
zone-a = "review-region"
zone-b = "review-region"
zone-c = "review-region"
[listen_addresses]
frontend = %q
ready = %q
control = %q
[limits]
cpu_share = 0.8
cpu_cores = 1
memory_mb = 544
file_descriptors = 8600
link_mbps = 2000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
stable_window_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 7000
grace_period_s = 6
loss_slack_ms = 200
configuration_apply_ms = 3000
rollback_slack_ms = 250
outer_bound_ms = 12000
recovery_s = 12
fencing_enforced = false
thaw_slack_ms = 300
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
transaction_latency_ms = 5.0
partition_writes_s = 200
max_row_bytes = 65536
cross_partition = false
history_retention_s = 20
max_blob_bytes = 8388608
[cloud_api]
address = %q
requests_per_s = 50.0
duties = ["promotion"]
duties_per_s = 50.0
`, i.name, i.ip, i.zone, s.ports[1], s.ports[1]+10, strings.Join(seeds, ","), i.callers(),
		net.JoinHostPort(i.ip, strconv.Itoa(s.ports[2])), net.JoinHostPort(i.ip, strconv.Itoa(s.ports[1]+5)),
		s.store.Address(), s.cloud)
	return os.WriteFile(i.settings, []byte(text), 0o600)
}

// start starts the process.
func (i *Instance) start() error {
	logFile, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(i.sys.program[0], i.sys.program[1:]...)
	cmd.Env = append(os.Environ(), "GYPSUMDOCK_CONFIG="+i.settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	i.process, i.done = cmd, make(chan struct{})
	done := i.done
	go func() { _ = cmd.Wait(); close(done) }()
	i.sys.rec.Logf(i.name, "starts, process %d", cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (i *Instance) signal(sig syscall.Signal) {
	i.sys.rec.Logf(i.name, "gets signal %v", sig)
	_ = i.process.Process.Signal(sig)
}

// wait waits for the end of the process.
func (i *Instance) wait(patience time.Duration) bool {
	select {
	case <-i.done:
		i.sys.rec.Logf(i.name, "has ended")
		return true
	case <-time.After(patience):
		return false
	}
}

// restart stops the process gracefully, as the platform does, and starts it again.
func (i *Instance) restart() error {
	i.signal(syscall.SIGTERM)
	if !i.wait(6 * time.Second) {
		i.signal(syscall.SIGKILL)
		i.wait(5 * time.Second)
	}
	time.Sleep(300 * time.Millisecond)
	return i.start()
}

func (i *Instance) waitReady(patience time.Duration) bool {
	end := time.Now().Add(patience)
	client := http.Client{Timeout: time.Second}
	url := "http://" + net.JoinHostPort(i.ip, strconv.Itoa(i.sys.ports[2])) + "/gypsumdock/readiness"
	for time.Now().Before(end) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		response, err := client.Do(request)
		cancel()
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				i.sys.rec.Logf(i.name, "is ready")
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// close ends all processes and removes the folder.
func (s *System) close(keepLogs string) {
	for _, i := range s.instances {
		if i.process != nil {
			_ = i.process.Process.Kill()
			<-i.done
		}
		if keepLogs != "" && i.logPath != "" {
			data, _ := os.ReadFile(i.logPath)
			_ = os.WriteFile(filepath.Join(keepLogs, filepath.Base(i.logPath)), data, 0o600)
		}
	}
	_ = os.RemoveAll(s.dir)
}
