package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/operator"
)

func cmdDiff() *cli.Command {
	return &cli.Command{
		Name:  "diff",
		Usage: "show what applying a folder would change",
		Description: "Example:\n  trefoilspring diff --folder config --platform http://127.0.0.1:8500\n\n" +
			exitHelp,
		Flags:        []cli.Flag{folderFlag(), platformFlag(), outputFlag()},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			return withExitCode(diff(ctx, c))
		},
	}
}

// diffResult is what diff prints: the changes that applying a folder would make.
type diffResult struct {
	// Revision is the accepted revision that the folder is compared with.
	Revision uint64            `json:"revision"`
	Changes  []operator.Change `json:"changes"`
}

// String returns the changes as text, one a line.
func (d diffResult) String() string {
	if len(d.Changes) == 0 {
		return fmt.Sprintf("no change from revision %d\n", d.Revision)
	}
	var s strings.Builder
	fmt.Fprintf(&s, "%d changes from revision %d:\n", len(d.Changes), d.Revision)
	for _, change := range d.Changes {
		fmt.Fprintf(&s, "  %s\n", change)
	}
	return s.String()
}

func diff(ctx context.Context, c *cli.Command) error {
	d, err := operator.LoadFolder(c.String(folderFlagName))
	if err != nil {
		return err
	}
	current, err := newPublisher(c).Current(ctx)
	if err != nil {
		return err
	}
	return printResult(c, diffResult{
		Revision: current.Revision,
		Changes:  operator.Diff(current.Document, d),
	})
}
