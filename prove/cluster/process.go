// Package cluster runs the system's processes and stand-ins on loopback addresses
// for tests and demonstrations. Each process has its own IP address and is
// reached through a fault-injecting proxy.
package cluster

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// A Process is a child process; it can be restarted with the same arguments.
type Process struct {
	name    string
	program string
	args    []string
	// logs is the path of the log file.
	logs string
	cmd  *exec.Cmd
	done chan struct{}
}

func newProcess(name, logs, program string, args ...string) *Process {
	return &Process{
		name:    name,
		program: program,
		args:    args,
		logs:    filepath.Join(logs, name+".log"),
	}
}

// Start starts the process with an empty environment and appends its output to a log file.
func (p *Process) Start() error {
	out, err := os.OpenFile(p.logs, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = []string{}
	if err := p.cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process itself, not to its group. It does nothing
// if the process is not running.
func (p *Process) Signal(s syscall.Signal) {
	if p.cmd != nil && p.IsRunning() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Freeze suspends the process with SIGSTOP until Thaw is called.
func (p *Process) Freeze() {
	p.Signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() {
	p.Signal(syscall.SIGCONT)
}

// Terminate asks the process with SIGTERM to shut down in an orderly way.
func (p *Process) Terminate() {
	p.Signal(syscall.SIGTERM)
}

// Wait blocks until the process has exited. It returns at once if the process was
// never started.
func (p *Process) Wait() {
	if p.done != nil {
		<-p.done
	}
}

// Done returns a channel that is closed when the process exits.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// IsRunning reports whether the process was started and has not exited.
func (p *Process) IsRunning() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// PID returns the process ID of the last start.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Log returns the output of all starts of the process, empty if it cannot be read.
func (p *Process) Log() string {
	b, _ := os.ReadFile(p.logs)
	return string(b)
}
