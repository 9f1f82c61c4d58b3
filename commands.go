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
		cmdCheck(),
		cmdDiff(),
		cmdApply(),
		cmdHistory(),
		cmdRollback(),
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:     "trefoilspring",
		Usage:    "a layer-4 load balancer",
		Version:  version,
		Commands: commands(),
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
