// Package faults_test runs a small deployment as separate processes and injects a fault
// into it in each test. Each test then checks the journals of callers and targets for
// broken guarantees.
//
// # Usage
//
//	go test -v ./test/faults                         # logs the report of each test
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

// binaryFolder is the folder that TestMain builds the commands into.
var binaryFolder string

// keepFolder is the folder in which the tests leave their files, or empty.
var keepFolder = flag.String("keep", "", "keep the files of each test in `DIR`")

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
	binaryFolder = dir
	const module = "trefoilspring.example/trefoilspring"
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), module, module+"/standin").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("building: %s", out))
	}
	return m.Run()
}
