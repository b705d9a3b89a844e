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

// Process is a running program. Address is the address of its main listener.
type Process struct {
	Name    string
	Address string
	command *exec.Cmd
}

// stopTimeout is the time after which a process that does not exit is killed.
const stopTimeout = 5 * time.Second

func start(directory, name, address, program string, arguments ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(directory, filepath.Base(name)+".log")) //nolint:gosec // the directory is the measurement's own
	if err != nil {
		return nil, errors.Wrap(err, "create log file")
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

// Stop terminates the process and waits for its exit. It kills the process after stopTimeout.
func (p *Process) Stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(stopTimeout, func() { _ = p.command.Process.Kill() })
	defer timer.Stop()
	_ = p.command.Wait()
}

// Usage is the resource use of a process.
type Usage struct {
	// Processor is the processor time since the start of the process.
	Processor time.Duration
	// ResidentBytes is the resident memory of the process.
	ResidentBytes int64
}

const (
	// clockTick is the unit of processor time in /proc. The fields are indexes into /proc/PID/stat, counted after the
	// command name, and into /proc/PID/statm.
	clockTick     = 10 * time.Millisecond
	userField     = 11
	systemField   = 12
	residentField = 1
)

// Usage reads the processor time since the start and the resident memory of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(directory, "stat")) //nolint:gosec // the path holds a process id only
	if err != nil {
		return Usage{}, errors.Wrap(err, "read the processor time of the process")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	memory, err := os.ReadFile(filepath.Join(directory, "statm")) //nolint:gosec // the path holds a process id only
	if err != nil {
		return Usage{}, errors.Wrap(err, "read the memory of the process")
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
