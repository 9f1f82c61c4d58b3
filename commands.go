package main

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the process, by which scripts and scheduled jobs tell outcomes
// apart.
const (
	// exitFailed reports any error that has no code of its own.
	exitFailed = 1
	// exitUsage reports wrong flags or invalid input.
	exitUsage = 2
	// exitConflict reports that another change was accepted first.
	exitConflict = 3
	// exitUnknown reports that the change may or may not have been accepted.
	exitUnknown = 4
	// exitRefused reports that the guard against large changes refused the change.
	exitRefused = 5
)

// commands returns the subcommands in the order in which --help lists them.
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
		// By default the library exits here; main sets the exit code instead.
		ExitErrHandler: func(_ context.Context, _ *cli.Command, _ error) {},
	}
}

// exitCoder is an error that has an exit code.
type exitCoder interface {
	error
	ExitCode() int
}

// exitCode returns the exit code for an error that a command returned.
func exitCode(err error) int {
	var c exitCoder
	if errors.As(err, &c) {
		return c.ExitCode()
	}
	return exitFailed
}
