// Command standin holds the stand-ins of the systems around trefoilspring and
// the tools that send load and judge its outcome.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(run(os.Args))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	if err := root().Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}
