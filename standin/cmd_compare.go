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

	"trefoilspring.example/trefoilspring/simulator"
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

// strategyResult is the result of one strategy for keeping flows on their targets.
type strategyResult struct {
	simulator.Results
	// Scale is the divisor of the number of flows.
	Scale int `json:"scale"`
	// WallSeconds is how long the simulation took.
	WallSeconds float64 `json:"wall_seconds"`
}

// compare plays one trace with every strategy, and prints the results as a table and as
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
	var results []strategyResult
	for _, strategy := range simulator.Strategies() {
		results = append(results, runStrategy(strategy, size, trace))
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
func parseSize(name string, seed uint64) (simulator.Size, error) {
	switch name {
	case "today":
		return simulator.TodaySize(seed), nil
	case "today-20":
		size := simulator.TodaySize(seed)
		size.Name = name
		size.Balancers = 20
		return size, nil
	case "aim":
		return simulator.AimSize(seed), nil
	default:
		return simulator.Size{}, &UnknownFlagValueError{flag: "size", value: name}
	}
}

// parseTrace returns the trace that the flag --trace names.
func parseTrace(name string, size simulator.Size) (simulator.Trace, error) {
	switch name {
	case "all":
		return simulator.LongTrace(size), nil
	case "drain":
		return simulator.Single(size, simulator.Drain, ""), nil
	case "cut":
		return simulator.Single(size, simulator.Drain, simulator.CutHalf), nil
	case "two-deaths":
		return simulator.TwoDeaths(size), nil
	default:
		return simulator.Trace{}, &UnknownFlagValueError{flag: "trace", value: name}
	}
}

// runStrategy plays trace with one strategy for keeping flows on their targets.
func runStrategy(strategy simulator.Strategy, size simulator.Size, trace simulator.Trace) strategyResult {
	scale := 1
	if size.Name == "aim" && strategy.Name == simulator.Replicated.Name {
		scale = replicationScale
		size.LongFlows /= scale
		size.OpeningsPerSecond /= scale
	}
	start := time.Now()
	results := simulator.New(size, strategy).Play(trace)
	return strategyResult{Results: results, Scale: scale, WallSeconds: time.Since(start).Seconds()}
}

func printTable(results []strategyResult) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "way\tscale\topened\tbroken\tlong\tby opening\twrong service\tlate to out\tlate to draining\timbalance\tp99\tB/s\tmax B/s\thanded on\tlost\trecords/flow\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t1/%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.4f\t%.2f\t\n",
			r.Strategy, r.Scale, r.FlowsOpened, r.FlowsBroken, r.LongFlowsBroken, r.BrokenByOpening, r.WrongService, r.LateToOut, r.LateToDraining,
			r.ImbalanceMean, r.ImbalanceP99, r.ControlBytes, r.ControlBytesMax, r.HandedOnShare, r.LostShare, r.RecordsPerFlow)
	}
	return errors.Wrap(w.Flush(), "writing the table")
}
