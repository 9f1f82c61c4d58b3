// Command standin holds the stand-ins of the systems around trefoilspring and
// the tools that send load and judge its outcome.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// exitFailed is the exit code of a command that failed.
const exitFailed = 1

func main() {
	os.Exit(run(os.Args))
}

func run(args []string) int {
	slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	if err := root().Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	return 0
}
