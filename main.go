// Command trefoilspring is a layer-4 load balancer and its operators' tool.
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
		fmt.Fprintln(os.Stderr, "trefoilspring:", err)
		if next := hint(err); next != "" {
			fmt.Fprintln(os.Stderr, "next:", next)
		}
		return exitCode(err)
	}
	return 0
}
