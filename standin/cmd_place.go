package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/standin/modeler"
)

func cmdPlace() *cli.Command {
	return &cli.Command{
		Name:  "place",
		Usage: "compare ways of choosing the target of a flow under load, in virtual time",
		Description: "Example:\n" +
			"  standin place --size grown --seed 1",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the callers", Value: 1},
			&cli.StringFlag{Name: "size", Usage: "`SIZE`: small or grown", Value: "small"},
		},
		Action: comparePlacement,
	}
}

// comparePlacement simulates every load with every strategy of choosing a target and
// prints a table of the results.
func comparePlacement(_ context.Context, cmd *cli.Command) error {
	var size modeler.Size
	switch name := cmd.String("size"); name {
	case "small":
		size = modeler.Small()
	case "grown":
		size = modeler.Grown()
	default:
		return &UnknownFlagValueError{flag: "size", value: name}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tway\trequests\tin goal\tlate\tturned away\tacross\tp50\tp99\tbusiest/mean")
	for _, load := range modeler.Loads(size, cmd.Uint64("seed")) {
		for _, strategy := range modeler.Strategies() {
			result := modeler.Simulate(load, strategy)
			fmt.Fprintf(w, "%s\t%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%d ms\t%d ms\t%.2f\n", load.Pattern, strategy.Name, result.Requests,
				result.InGoal, result.Late, result.Rejected, result.CrossZone, result.P50/time.Millisecond, result.P99/time.Millisecond, result.BusiestOverMean)
		}
	}
	return errors.Wrap(w.Flush(), "writing the table")
}
