package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/standin/comparer"
)

func cmdCompareCapacity() *cli.Command {
	return &cli.Command{
		Name:  "compare-capacity",
		Usage: "compare how evenly ways of choosing a target spread one trace of flows",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "balancers", Usage: "number of balancers", Value: 13},
			&cli.IntFlag{Name: "targets", Usage: "number of targets", Value: 14},
			&cli.IntFlag{Name: "capacity", Usage: "open flows that a target carries", Value: 4400},
			&cli.FloatFlag{Name: "load", Usage: "open flows over the capacity of all targets", Value: 0.95},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the trace", Value: 1},
		},
		Action: compareCapacity,
	}
}

// compareCapacity plays one trace with every policy and prints each result as a
// line of JSON.
func compareCapacity(_ context.Context, cmd *cli.Command) error {
	trace := comparer.Trace{
		Balancers: max(cmd.Int("balancers"), 1), Targets: max(cmd.Int("targets"), 1),
		Capacity: max(cmd.Int("capacity"), 1), Load: cmd.Float("load"), Seed: cmd.Uint64("seed"),
	}
	fmt.Printf("seed %d\n", trace.Seed)
	for _, result := range trace.Compare(comparer.Policies()) {
		line, err := json.Marshal(result)
		if err != nil {
			return errors.Wrap(err, "encoding a result")
		}
		fmt.Println(string(line))
	}
	return nil
}
