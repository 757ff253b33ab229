package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Instance is a machine with a process of the system.
type Instance struct {
	name, ip, zone string
	path           string
	ports          [4]int
	command        *exec.Cmd
	done           chan struct{}
	record         *Record
	// stalled is set while the log of the process is not read.
	stalled atomic.Bool
}

// machines are the instances of a site.
func machines(dir string, record *Record, store, cloud string, zones []string, extra string) ([]*Instance, error) {
	net3 := 10 + rand.IntN(200)
	ip := func(i int) string { return fmt.Sprintf("127.77.%d.%d", net3, i+1) }
	var ports [4]int
	for i := range ports {
		listener, err := net.Listen("tcp", ip(0)+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	var all []*Instance
	for i, zone := range zones {
		m := &Instance{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), ip: ip(i), zone: zone, ports: ports, record: record}
		m.path = filepath.Join(dir, m.name+".toml")
		seeds := ""
		for s := range min(3, len(zones)) {
			if s > 0 {
				seeds += ", "
			}
			seeds += strconv.Quote(net.JoinHostPort(ip(s), strconv.Itoa(ports[3])))
		}
		text := fmt.Sprintf(settingsText, m.name, m.ip, zone, ports[2], ports[2]+15, seeds,
			m.callers(), m.address(1), m.address(3), extra, store, cloud)
		if err := os.WriteFile(m.path, []byte(text), 0o600); err != nil {
			return nil, err
		}
		all = append(all, m)
	}
	return all, nil
}

const settingsText = `node_name = %q
role = "proxy"
machine_class = "frontend"
serves = ["frontend", "control"]
ip_address = %q
zone = %q
region = "cymru-south"
internal_ports = [%d, %d]
seed_nodes = [%s]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
[listen_addresses]
frontend = %q
ready = %q
control = %q
[limits]
cpu_share = 0.8
cpu_cores = 1
memory_mb = 284
file_descriptors = 4300
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = 4000
drain_timeout_ms = 7000
grace_period_s = 6
loss_slack_ms = 200
configuration_apply_ms = 3000
rollback_slack_ms = 250
outer_bound_ms = 12000
recovery_s = 12
fencing_enforced = false
thaw_slack_ms = 300
%s
[platform]
address = %q
form = "table"
[cloud_api]
address = %q
duties = ["promotion"]
`

func (m *Instance) address(port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.ports[port]))
}

// callers is the address for clients.
func (m *Instance) callers() string { return m.address(0) }

// start starts the process with the command of the deploy file.
func (m *Instance) start() error {
	log, err := os.OpenFile(m.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command("target/gypsumdock", "--hosted")
	m.command.Dir = repository()
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMDOCK_CONFIG=" + m.path}
	collector, output, err := os.Pipe()
	if err != nil {
		return err
	}
	m.command.Stdout, m.command.Stderr = output, output
	err = m.command.Start()
	_ = output.Close()
	if err != nil {
		return err
	}
	go m.collect(collector, log)
	remember(m.command.Process)
	command, done := m.command, make(chan struct{})
	m.done = done
	m.record.note("%s started, process %d", m.name, command.Process.Pid)
	go func() {
		_ = command.Wait()
		forget(command.Process)
		close(done)
	}()
	return nil
}

// started holds the processes that run.
var started struct {
	sync.Mutex
	all map[int]*os.Process
}

func remember(process *os.Process) {
	started.Lock()
	defer started.Unlock()
	if started.all == nil {
		started.all = map[int]*os.Process{}
	}
	started.all[process.Pid] = process
}

func forget(process *os.Process) {
	started.Lock()
	defer started.Unlock()
	delete(started.all, process.Pid)
}

// killStarted ends the processes that run.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	for _, process := range started.all {
		_ = process.Kill()
	}
}

// collect copies the log of a process to a file, except while it is stalled.
func (m *Instance) collect(from, to *os.File) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, 4096)
	for {
		for m.stalled.Load() {
			time.Sleep(20 * time.Millisecond)
		}
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// signal sends a signal to the process.
func (m *Instance) signal(signal syscall.Signal) {
	m.record.note("signal %v to %s", signal, m.name)
	_ = m.command.Process.Signal(signal)
}

// ended waits for the end of the process.
func (m *Instance) ended(most time.Duration) bool {
	select {
	case <-m.done:
		return true
	case <-time.After(most):
		return false
	}
}

// kill ends the process.
func (m *Instance) kill() {
	if m.command != nil {
		_ = m.command.Process.Kill()
		<-m.done
	}
}

// ready reports whether the instance answers the readiness check with 200.
func (m *Instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(1) + "/gypsumdock/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the instances are ready.
func awaitReady(all []*Instance, most time.Duration) bool {
	end := time.Now().Add(most)
	for _, m := range all {
		for !m.ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// repository is the root of the repository, in which the script starts.
func repository() string {
	dir, err := os.Getwd()
	if err != nil {
		return "."
	}
	return dir
}
