package lavchild

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one program of the fleet; it can be ended and started again with the same settings.
type Process struct {
	Name    string
	path    string
	args    []string
	logPath string

	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{}
	code      int
	starts    int
	suspended bool
}

// New returns a process of a program that writes to a log; Start starts it.
func New(name, path string, args []string, logPath string) *Process {
	return &Process{Name: name, path: path, args: args, logPath: logPath}
}

// Start starts the process.
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
		p.code = command.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Starts counts how often the process was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Alive tells whether the process runs and is not frozen.
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

// Kill ends the process without notice and waits until it is gone.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done()
}

// Suspend stops the process until Thaw.
func (p *Process) Suspend() {
	p.signal(syscall.SIGSTOP)
	p.mu.Lock()
	p.suspended = true
	p.mu.Unlock()
}

// Resume lets a frozen process go on.
func (p *Process) Resume() {
	p.mu.Lock()
	p.suspended = false
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
}

// Terminate asks the process to end gracefully.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// WaitExit returns the exit code, or false when the process still runs after the time.
func (p *Process) WaitExit(limit time.Duration) (int, bool) {
	select {
	case <-p.done():
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.code, true
	case <-time.After(limit):
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

// Reload tells the process that its settings have changed.
func (p *Process) Reload() {
	p.signal(syscall.SIGHUP)
}

// Log returns what the process has written.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
