package cluster

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// stopTimeout bounds the wait for a process after SIGTERM; then it is killed.
const stopTimeout = 20 * time.Second

// Process is a running program. Its methods are safe for concurrent use.
type Process struct {
	Name string
	// LogPath is the file with its standard error.
	LogPath string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// starter starts all processes on one thread that never ends, because the
// kernel sends the parent-death signal when the starting thread ends.
var starter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for next := range work {
			next()
		}
	}()
	return work
})

// start runs a program with its standard error in logPath. When first is not
// nil, the first line of its standard output is decoded into it.
func start(name, logPath string, first any, path string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(path, args...)
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started := make(chan error, 1)
	starter() <- func() { started <- cmd.Start() }
	if err = <-started; err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, LogPath: logPath, cmd: cmd, done: make(chan struct{})}
	lines := bufio.NewReader(output)
	if first != nil {
		err = decodeLine(lines, first)
	}
	go func() {
		defer close(p.done)
		_, _ = lines.WriteTo(logWriter{})
		p.err = cmd.Wait()
	}()
	if err != nil {
		return nil, errors.Join(errors.Wrapf(err, "first line of %s", name), p.Kill())
	}
	return p, nil
}

// logWriter drops what a program prints after its first line.
type logWriter struct{}

// Write implements io.Writer.
func (logWriter) Write(data []byte) (int, error) { return len(data), nil }

func decodeLine(lines *bufio.Reader, into any) error {
	line, err := lines.ReadBytes('\n')
	if err != nil {
		return err
	}
	return json.Unmarshal(line, into)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// Freeze stops the process with SIGSTOP; Thaw continues it.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw continues a process after Freeze.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL and waits for it.
func (p *Process) Kill() error {
	if p.Exited() {
		return nil
	}
	err := p.Signal(syscall.SIGKILL)
	<-p.done
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code of a process that has ended; it is negative
// after a signal.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Terminate sends SIGTERM and waits; a process that does not end in time is
// killed, which is an error.
func (p *Process) Terminate() error {
	if p.Exited() {
		return nil
	}
	_ = p.Thaw()
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(stopTimeout):
		return errors.Join(errors.Errorf("%s did not stop in %s", p.Name, stopTimeout), p.Kill())
	}
}

// StartLogged runs a program with its whole output in logPath and with env in
// addition to the environment.
func StartLogged(name, logPath string, env []string, path string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, LogPath: logPath, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = cmd.Wait()
	}()
	return p, nil
}
