package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/publisher"
)

func cmdApply() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "put a folder in force; running it again changes nothing",
		Description: "Example:\n  trefoilspring apply --folder config --platform http://127.0.0.1:8500 --based-on 7\n\n" +
			exitHelp,
		Flags: []cli.Flag{
			folderFlag(), platformFlag(), authorFlag(), basedOnFlag(), allowLargeChangeFlag(), outputFlag(),
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			return withExitCode(apply(ctx, c))
		},
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	d, err := operator.LoadFolder(c.String(folderFlagName))
	if err != nil {
		return err
	}
	proposal := newProposal(c)
	proposal.Document = d
	result, err := newPublisher(c).Publish(ctx, proposal)
	if err != nil {
		return err
	}
	return printResult(c, newChangeResult(result))
}

// changeResult is what apply and rollback print: the accepted revision, and
// whether the command changed it.
type changeResult struct {
	Changed  bool   `json:"changed"`
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change-id"`
	Digest   string `json:"digest"`
}

func newChangeResult(r publisher.Result) changeResult {
	return changeResult{
		Changed:  r.Changed,
		Revision: r.Record.Revision,
		ChangeID: r.Record.ChangeID,
		Digest:   r.Record.Digest,
	}
}

// String returns the result as text.
func (r changeResult) String() string {
	if !r.Changed {
		return fmt.Sprintf("no change: revision %d, change %s\n", r.Revision, r.ChangeID)
	}
	return fmt.Sprintf("accepted: revision %d, change %s\n", r.Revision, r.ChangeID)
}
