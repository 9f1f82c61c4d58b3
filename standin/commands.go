package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

// commands lists the subcommands in the order in which help shows them.
func commands() []*cli.Command {
	return []*cli.Command{
		cmdPlatform(),
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins of the systems around trefoilspring",
		Commands: commands(),
		// The exit code is set by main alone.
		ExitErrHandler: func(_ context.Context, _ *cli.Command, _ error) {},
	}
}
