package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/loader"
)

// commands lists the subcommands in the order in which help shows them.
func commands() []*cli.Command {
	return []*cli.Command{
		cmdPlatform(),
		cmdFabric(),
		cmdTarget(),
		cmdCaller(),
		cmdLayout(),
		cmdWait(),
		cmdReport(),
		cmdCompare(),
		cmdPlace(),
		cmdCompareCapacity(),
		cmdSoak(),
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

// daemon is a stand-in that runs until its context ends.
type daemon interface {
	Run(ctx context.Context) error
}

// daemonCommand returns the command of a stand-in with settings of type S.
func daemonCommand[S any, D daemon](name, usage string, start func(S) (D, error)) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var settings S
			if err := loader.Load(cmd.String("settings"), &settings); err != nil {
				return err
			}
			d, err := start(settings)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}
