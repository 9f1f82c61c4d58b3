// Package faults_test runs a small deployment as separate processes, causes one
// fault in each session, and judges by the journals of callers and targets.
//
// # Usage
//
//	go test -v ./test/faults                       # the figures of all sessions
//	go test -v -run 'Freeze' ./test/faults -keep DIR # keeps logs and journals
package faults_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is the folder of the built commands.
var binaries string

// keep is the folder in which the sessions leave their files.
var keep = flag.String("keep", "", "leave the files of each session in `DIR`")

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "trefoilspring-faults")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	const module = "trefoilspring.example/trefoilspring"
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), module, module+"/standin").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("building: %s", out))
	}
	return m.Run()
}
