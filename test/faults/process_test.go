package faults_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is one process of a session.
type process struct {
	name  string
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
	err   error
}

// start runs a binary and writes its output to the end of the named log.
func start(folder, name, binary string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(folder, "logs", name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaries, binary), args...), log: log, ended: make(chan struct{})}
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	return p, nil
}

// reap waits for the end of the process; it is called once.
func (p *process) reap() {
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	close(p.ended)
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// end waits for the process, which must end by itself with code 0 in time.
func (p *process) end(timeout time.Duration) error {
	select {
	case <-p.ended:
	case <-time.After(timeout):
		return fmt.Errorf("%s did not end within %s", p.name, timeout)
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.name, p.err)
	}
	return nil
}
