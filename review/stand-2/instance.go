package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// zones are those of the deployment.
var zones = []string{"quay-east", "quay-west", "gate-north"}

const instanceCount = 4

// instance is a machine with a process of the hosted program.
type instance struct {
	name, ip, path  string
	callers, ready  string
	program, folder string

	mu      sync.Mutex
	process *exec.Cmd
	rotated bool
	misses  int
}

// settings returns the settings file of an instance, with the figures of the small
// deployment.
func settings(i *instance, index int, s *store, g *group, ports [4]int, seeds string) string {
	return fmt.Sprintf(`node_name = %q
role = "proxy"
machine_class = "frontend"
serves = ["frontend","control"]
ip_address = %q
zone = %q
region = "cymru-south"
internal_ports = [%d,%d]
seed_nodes = [%s]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
quay-east = "cymru-south"
quay-west = "cymru-south"
gate-north = "cymru-south"
[listen_addresses]
frontend = %q
ready = %q
control = "%s:%d"
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
file_descriptors = 4300
link_mbps = 1000.0
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
blob_timeout_ms = 25.0
blob_mb_s = 80.0
[cloud_api]
address = %q
requests_per_s = 50.0
duties = ["promotion"]
duties_per_s = 50.0
`, i.name, i.ip, zones[index%len(zones)], ports[2], ports[2]+15, seeds, i.callers, i.ready, i.ip, ports[3], s.address(), g.cloud.Addr().String())
}

// freePorts finds ports that are free on the addresses of all instances.
func freePorts() ([4]int, error) {
	var ports [4]int
	for n := 0; n < len(ports); {
		listener, err := net.Listen("tcp", instanceIP(0)+":0")
		if err != nil {
			return ports, err
		}
		defer func() { _ = listener.Close() }()
		port := listener.Addr().(*net.TCPAddr).Port
		free := port < 65000
		for i := 1; i < instanceCount && free; i++ {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", instanceIP(i), port))
			if err != nil {
				free = false
				continue
			}
			_ = other.Close()
		}
		if free {
			ports[n] = port
			n++
		}
	}
	return ports, nil
}

func instanceIP(index int) string { return fmt.Sprintf("127.0.88.%d", index+1) }

func placeInstances(program, folder string, s *store, g *group) ([]*instance, error) {
	ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	seeds := fmt.Sprintf("%q,%q,%q", fmt.Sprintf("%s:%d", instanceIP(0), ports[3]), fmt.Sprintf("%s:%d", instanceIP(1), ports[3]), fmt.Sprintf("%s:%d", instanceIP(2), ports[3]))
	var all []*instance
	for n := range instanceCount {
		i := &instance{
			name: fmt.Sprintf("frontend-%s-%d", zones[n%len(zones)], 1+n/len(zones)), ip: instanceIP(n), program: program, folder: folder,
			callers: fmt.Sprintf("%s:%d", instanceIP(n), ports[0]), ready: fmt.Sprintf("%s:%d", instanceIP(n), ports[1]),
		}
		i.path = filepath.Join(folder, i.name+".toml")
		if err := os.WriteFile(i.path, []byte(settings(i, n, s, g, ports, seeds)), 0o600); err != nil {
			return nil, err
		}
		all = append(all, i)
	}
	return all, nil
}

func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(i.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(i.program, "--hosted")
	command.Env = []string{"GYPSUMDOCK_CONFIG=" + i.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	i.process = command
	record("%s started", i.name)
	return nil
}

func (i *instance) signal(signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(signal)
	}
	record("%s gets signal %s", i.name, signal)
}

// kill ends the process and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return
	}
	_ = i.process.Process.Kill()
	_ = i.process.Wait()
	i.process = nil
	record("%s killed", i.name)
}

// isReady asks the readiness address.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: 900 * time.Millisecond}
	response, err := client.Get("http://" + i.ready + "/gypsumdock/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// watch keeps the rotation of new connections as the platform does.
func (i *instance) watch() {
	for {
		ready := i.isReady()
		i.mu.Lock()
		if ready {
			i.rotated, i.misses = true, 0
		} else if i.misses++; i.misses >= 2 {
			i.rotated = false
		}
		i.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (i *instance) inRotation() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rotated
}
