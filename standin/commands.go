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

// rootCommand returns the command standin with its subcommands.
func rootCommand() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins of the systems around trefoilspring",
		Commands: commands(),
		// main alone sets the exit code; the default handler may end the process.
		ExitErrHandler: func(_ context.Context, _ *cli.Command, _ error) {},
	}
}

// daemon is an emulated system that runs until ctx ends.
type daemon interface {
	Run(ctx context.Context) error
}

// daemonCommand returns a command that reads settings of type S from a file,
// creates a daemon with them and runs it.
func daemonCommand[S any, D daemon](name, usage string, create func(S) (D, error)) *cli.Command {
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
			d, err := create(settings)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}
