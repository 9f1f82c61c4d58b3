package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func cmdRollback() *cli.Command {
	return &cli.Command{
		Name:  "rollback",
		Usage: "make a new revision with the content of an earlier one",
		Description: "Example:\n  trefoilspring rollback --to 6 --platform http://127.0.0.1:8500\n\n" +
			exitHelp,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "to", Usage: "take the content of revision `REV`", Required: true},
			platformFlag(), authorFlag(), basedOnFlag(), allowLargeChangeFlag(), outputFlag(),
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			return withExitCode(rollback(ctx, c))
		},
	}
}

func rollback(ctx context.Context, c *cli.Command) error {
	result, err := newPublisher(c).Rollback(ctx, c.Uint64("to"), newProposal(c))
	if err != nil {
		return err
	}
	return printResult(c, newChangeResult(result))
}
