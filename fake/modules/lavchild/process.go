package lavchild

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a child process, which can be ended and started again with the same arguments.
type Process struct {
	Name    string
	path    string
	args    []string
	logPath string

	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{}
	exitCode  int
	starts    int
	suspended bool
}

// New returns a process for the program at path that appends its output to the file at logPath. Start starts it.
func New(name, path string, args []string, logPath string) *Process {
	return &Process{Name: name, path: path, args: args, logPath: logPath}
}

// Start starts the process. It may be called again after the process has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.Command(p.path, p.args...) //nolint:gosec,noctx // ended by Kill
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.command = command
	p.starts++
	p.suspended = false
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		_ = command.Wait()
		p.mu.Lock()
		p.exitCode = command.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Starts returns the number of times that the process was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Alive reports whether the process runs and is not suspended. The process must have been started.
func (p *Process) Alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false
	default:
		return !p.suspended
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done()
}

// Suspend stops the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() {
	p.signal(syscall.SIGSTOP)
	p.mu.Lock()
	p.suspended = true
	p.mu.Unlock()
}

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() {
	p.mu.Lock()
	p.suspended = false
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
}

// Terminate sends SIGTERM, on which the process shuts down gracefully.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// WaitExit waits for the process to end and returns its exit code. The second result is false when it still runs after
// timeout.
func (p *Process) WaitExit(timeout time.Duration) (int, bool) {
	select {
	case <-p.done():
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exitCode, true
	case <-time.After(timeout):
		return 0, false
	}
}

func (p *Process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

func (p *Process) signal(signal os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// Reload sends SIGHUP, on which the process reads its settings again.
func (p *Process) Reload() {
	p.signal(syscall.SIGHUP)
}

// Log returns the output of all starts of the process, or the error text when it cannot be read.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
