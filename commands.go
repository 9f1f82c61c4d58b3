package main

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the command, for scheduled jobs.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
	exitRefused  = 5
)

// commands lists the subcommands in the order in which help shows them.
func commands() []*cli.Command {
	return []*cli.Command{
		cmdServe(),
		cmdBalance(),
		cmdCheckSettings(),
		cmdStatus(),
		cmdExplain(),
		cmdCheck(),
		cmdDiff(),
		cmdApply(),
		cmdHistory(),
		cmdRollback(),
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:    "trefoilspring",
		Usage:   "a layer-4 load balancer",
		Version: version,
		Description: `Example:
   trefoilspring check --folder config
   trefoilspring apply --folder config --platform http://127.0.0.1:8500

Completion for a shell is printed by "trefoilspring completion SHELL", such as
   source <(trefoilspring completion bash)

Exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 conflict with another
change, 4 outcome unknown, 5 refused by the guard against large changes.`,
		Commands:              commands(),
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		// The exit code is set by main alone.
		ExitErrHandler: func(_ context.Context, _ *cli.Command, _ error) {},
	}
}

// coder is an error that names its own exit code.
type coder interface {
	error
	ExitCode() int
}

func exitCode(err error) int {
	var c coder
	if errors.As(err, &c) {
		return c.ExitCode()
	}
	return exitFailed
}
