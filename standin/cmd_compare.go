package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/exerciser"
)

// replicationScale is the divisor of the number of flows when full replication is
// simulated at the size "aim". Undivided, the state of all balancers does not fit
// into the memory of one machine.
const replicationScale = 20

func cmdCompare() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "compare ways of keeping flows on their targets, in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the trace and the network", Value: 1},
			&cli.StringFlag{Name: "size", Usage: "`SIZE`: today, today-20 or aim", Value: "today"},
			&cli.StringFlag{Name: "trace", Usage: "`TRACE`: all, drain, cut or two-deaths", Value: "all"},
		},
		Action: compare,
	}
}

// UnknownFlagValueError reports a flag whose value is none of the allowed ones.
type UnknownFlagValueError struct {
	flag, value string
}

// Flag returns the name of the flag.
func (e *UnknownFlagValueError) Flag() string { return e.flag }

func (e *UnknownFlagValueError) Error() string {
	return fmt.Sprintf("--%s: unknown value %q", e.flag, e.value)
}

// wayResult is the result of one way of keeping flows on their targets.
type wayResult struct {
	exerciser.Figures
	// Scale is the divisor of the number of flows.
	Scale int `json:"scale"`
	// WallSeconds is how long the simulation took.
	WallSeconds float64 `json:"wall_seconds"`
}

// compare plays one trace with every way, and prints the results as a table and as
// a line of JSON.
func compare(_ context.Context, cmd *cli.Command) error {
	size, err := parseSize(cmd.String("size"), cmd.Uint64("seed"))
	if err != nil {
		return err
	}
	trace, err := parseTrace(cmd.String("trace"), size)
	if err != nil {
		return err
	}
	fmt.Printf("seed %d, size %s, trace %s\n", size.Seed, size.Name, trace.Name)
	var results []wayResult
	for _, way := range exerciser.Ways() {
		results = append(results, runWay(way, size, trace))
	}
	if err := printTable(results); err != nil {
		return err
	}
	line, err := json.Marshal(results)
	if err != nil {
		return errors.Wrap(err, "encoding the comparison")
	}
	fmt.Println(string(line))
	return nil
}

// parseSize returns the size that the flag --size names.
func parseSize(name string, seed uint64) (exerciser.Size, error) {
	switch name {
	case "today":
		return exerciser.Today(seed), nil
	case "today-20":
		size := exerciser.Today(seed)
		size.Name = name
		size.Balancers = 20
		return size, nil
	case "aim":
		return exerciser.Aim(seed), nil
	default:
		return exerciser.Size{}, &UnknownFlagValueError{flag: "size", value: name}
	}
}

// parseTrace returns the trace that the flag --trace names.
func parseTrace(name string, size exerciser.Size) (exerciser.Trace, error) {
	switch name {
	case "all":
		return exerciser.LongTrace(size), nil
	case "drain":
		return exerciser.Single(size, exerciser.Drain, ""), nil
	case "cut":
		return exerciser.Single(size, exerciser.Drain, exerciser.CutHalf), nil
	case "two-deaths":
		return exerciser.TwoDeaths(size), nil
	default:
		return exerciser.Trace{}, &UnknownFlagValueError{flag: "trace", value: name}
	}
}

// runWay plays trace with one way of keeping flows on their targets.
func runWay(way exerciser.Way, size exerciser.Size, trace exerciser.Trace) wayResult {
	scale := 1
	if size.Name == "aim" && way.Name == exerciser.Replicated.Name {
		scale = replicationScale
		size.LongFlows /= scale
		size.OpeningsPerSecond /= scale
	}
	start := time.Now()
	figures := exerciser.New(size, way).Play(trace)
	return wayResult{Figures: figures, Scale: scale, WallSeconds: time.Since(start).Seconds()}
}

func printTable(results []wayResult) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "way\tscale\topened\tbroken\tlong\tby opening\twrong service\tlate to out\tlate to draining\timbalance\tp99\tB/s\tmax B/s\thanded on\tlost\trecords/flow\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t1/%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.4f\t%.2f\t\n",
			r.Way, r.Scale, r.FlowsOpened, r.FlowsBroken, r.LongFlowsBroken, r.BrokenByOpening, r.WrongService, r.LateToOut, r.LateToDraining,
			r.ImbalanceMean, r.ImbalanceP99, r.ControlBytes, r.ControlBytesMax, r.HandedOnShare, r.LostShare, r.RecordsPerFlow)
	}
	return errors.Wrap(w.Flush(), "writing the table")
}
