package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

func cmdHistory() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the accepted revisions, the latest first",
		Description: "Example:\n  trefoilspring history --platform http://127.0.0.1:8500 --limit 5\n\n" +
			exitHelp,
		Flags: []cli.Flag{
			platformFlag(),
			&cli.IntFlag{Name: "limit", Usage: "list at most `N` revisions", Value: 20},
			outputFlag(),
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			return withExitCode(history(ctx, c))
		},
	}
}

// historyEntry is one accepted revision.
type historyEntry struct {
	Revision uint64    `json:"revision"`
	ChangeID string    `json:"change-id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Digest   string    `json:"digest"`
}

// historyResult is what history prints, the latest revision first.
type historyResult []historyEntry

// String returns the revisions as text, one a line.
func (r historyResult) String() string {
	var s strings.Builder
	for _, entry := range r {
		when := entry.Time.UTC().Format(time.RFC3339)
		fmt.Fprintf(&s, "revision %d, change %s, by %s at %s\n", entry.Revision, entry.ChangeID, entry.Author, when)
	}
	return s.String()
}

func history(ctx context.Context, c *cli.Command) error {
	records, err := newPublisher(c).History(ctx, c.Int("limit"))
	if err != nil {
		return err
	}
	// An empty result is printed as [] in JSON, not as null.
	result := historyResult{}
	for _, r := range records {
		result = append(result, historyEntry{
			Revision: r.Revision,
			ChangeID: r.ChangeID,
			Author:   r.Author,
			Time:     r.Time,
			Digest:   r.Digest,
		})
	}
	return printResult(c, result)
}
