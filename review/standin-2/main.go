// Command standin-2 plays the script cases of the second review: it starts the program under
// test as separate processes on loopback addresses, among stand-ins of clients, servers, routers
// and the platform's store.
//
// Usage, in the repository's root:
//
//	standin-2 CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// cases are the plays by name. Each returns an exit status.
var cases = map[string]func(*record, bool) (int, error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return couldNotRun
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer log.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		status int
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		status, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
		ended <- result{status, err}
	}()
	select {
	case <-interrupted:
		// The processes under test end with this one (Pdeathsig).
		return couldNotRun
	case r := <-ended:
		if r.err != nil {
			log.say("the case couldn't run: %v", r.err)
			return couldNotRun
		}
		return r.status
	}
}
