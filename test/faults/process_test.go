package faults_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is a process that a test started. err is its result, and may be read after
// exited is closed.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	err    error
}

// start starts a binary and appends its output to the log of the given name.
func start(folder, name, binary string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(folder, "logs", name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaryFolder, binary), args...), log: log, exited: make(chan struct{})}
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	return p, nil
}

// reap waits until the process has ended and sets its result. It must be called once.
func (p *process) reap() {
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	close(p.exited)
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// awaitSuccess waits until the process has ended. It returns an error unless the process
// ends within the timeout and with exit code 0.
func (p *process) awaitSuccess(timeout time.Duration) error {
	select {
	case <-p.exited:
	case <-time.After(timeout):
		return fmt.Errorf("%s did not end within %s", p.name, timeout)
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.name, p.err)
	}
	return nil
}
