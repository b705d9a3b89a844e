package lavprocess

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one running program.
type Process struct {
	Name    string
	Address string
	command *exec.Cmd
}

// stopTime is how long a process may take to end before it is killed.
const stopTimeout = 5 * time.Second

func start(directory, name, address, program string, arguments ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(directory, filepath.Base(name)+".log")) //nolint:gosec // the directory is the measurement's own
	if err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	defer log.Close()
	command := exec.Command(program, arguments...) //nolint:gosec,noctx // a measurement starts the project's own programs and ends them by id
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "start "+program+"; run make build first")
	}
	return &Process{Name: name, Address: address, command: command}, nil
}

// Stop ends the process.
func (p *Process) Stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(stopTimeout, func() { _ = p.command.Process.Kill() })
	defer timer.Stop()
	_ = p.command.Wait()
}

// Usage is what a process has used so far.
type Usage struct {
	Processor time.Duration
	// ResidentBytes is the memory that the process holds now.
	ResidentBytes int64
}

const (
	clockTick     = 10 * time.Millisecond
	userField     = 11
	systemField   = 12
	residentField = 1
)

// Usage reads the processor time and the memory of the process.
func (p *Process) Usage() (Usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(directory, "stat")) //nolint:gosec // the path holds a process id only
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	memory, err := os.ReadFile(filepath.Join(directory, "statm")) //nolint:gosec // the path holds a process id only
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process memory")
	}
	ticks := parseNumber(fields[userField]) + parseNumber(fields[systemField])
	pages := parseNumber(strings.Fields(string(memory))[residentField])
	return Usage{Processor: time.Duration(ticks) * clockTick, ResidentBytes: pages * int64(os.Getpagesize())}, nil
}

func parseNumber(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}
