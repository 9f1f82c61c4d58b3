// Command standin emulates the systems around trefoilspring for tests: the platform
// with its key-value store, the network fabric, targets and callers. Further
// subcommands lay out a deployment, check a run, inject faults, and compare
// algorithms in simulations.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// exitFailure is the exit code of a command that failed.
const exitFailure = 1

func main() {
	os.Exit(run(os.Args))
}

// run runs the command line args and returns the exit code.
func run(args []string) int {
	slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	if err := rootCommand().Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailure
	}
	return 0
}
