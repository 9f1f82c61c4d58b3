package main

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/standin/auditor"
	"trefoilspring.example/trefoilspring/standin/journal"
)

func cmdReport() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "judge a run by the journals of its callers and targets",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "journals", Usage: "read all `DIR`/*.jsonl", Required: true},
			&cli.StringFlag{Name: "zone", Usage: "the availability zone that was taken out"},
			&cli.Int64Flag{Name: "out-at", Usage: "when that was accepted, in milliseconds since 1970"},
			&cli.Int64Flag{Name: "in-at", Usage: "when its return was asked for, in milliseconds since 1970"},
			&cli.StringSliceFlag{Name: "drained", Usage: "a target that was draining"},
			&cli.Uint64Flag{Name: "seed", Usage: "the seed of the run, to be printed"},
		},
		Action: evaluateRun,
	}
}

// ViolationError reports a run in which promises of the load balancer were broken.
type ViolationError struct {
	violations []string
}

// Violations describes each promise that was broken.
func (e *ViolationError) Violations() []string { return e.violations }

func (e *ViolationError) Error() string {
	return "broken promises: " + strings.Join(e.violations, "; ")
}

// evaluateRun prints the report on a run as a line of JSON. It returns a
// ViolationError if the run broke a promise.
func evaluateRun(_ context.Context, cmd *cli.Command) error {
	entries, err := readJournals(cmd.String("journals"))
	if err != nil {
		return err
	}
	input := auditor.Input{Entries: entries, DrainingTargets: cmd.StringSlice("drained"), Seed: cmd.Uint64("seed")}
	if zone := cmd.String("zone"); zone != "" {
		input.Outages = []auditor.ZoneOutage{{
			Zone: zone, AcceptedUnixMs: cmd.Int64("out-at"), ReturnedUnixMs: cmd.Int64("in-at"),
		}}
	}
	report := auditor.Evaluate(input)
	line, err := json.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "encoding the report")
	}
	fmt.Println(string(line))
	if violations := report.Violations(); len(violations) > 0 {
		return &ViolationError{violations: violations}
	}
	return nil
}

// readJournals returns the entries of all journals in folder.
func readJournals(folder string) ([]journal.Entry, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	if err != nil || len(paths) == 0 {
		return nil, errors.Newf("no journals in %s", folder)
	}
	var entries []journal.Entry
	for _, path := range paths {
		e, err := journal.Read(path)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e...)
	}
	return entries, nil
}
