// Command trefoilspring is a layer-4 load balancer. It also has the commands with
// which operators check, apply and inspect the balancers' configuration.
//
// # Usage
//
//	trefoilspring check --folder config
//	trefoilspring apply --folder config --platform http://127.0.0.1:8500
//	trefoilspring serve --settings balancer.json
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

// run executes the command line args and returns the exit code. SIGINT and SIGTERM
// cancel the command's context.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// After the first signal the default handling is restored, so that a second one
	// ends the process at once.
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
