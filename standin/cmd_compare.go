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

// aimScale divides the flows of full replication at the aim's size, where all
// balancers would need more memory than one machine has.
const aimScale = 20

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

// UnknownChoiceError reports a value that a flag does not know.
type UnknownChoiceError struct {
	flag, value string
}

// Flag returns the name of the flag.
func (e *UnknownChoiceError) Flag() string { return e.flag }

func (e *UnknownChoiceError) Error() string {
	return fmt.Sprintf("--%s: unknown value %q", e.flag, e.value)
}

// outcome is a line of the comparison.
type outcome struct {
	simulator.Results
	// Scale is by what the flows were divided.
	Scale       int     `json:"scale"`
	WallSeconds float64 `json:"wall_seconds"`
}

func compare(_ context.Context, cmd *cli.Command) error {
	size, err := sizeOf(cmd.String("size"), cmd.Uint64("seed"))
	if err != nil {
		return err
	}
	trace, err := traceOf(cmd.String("trace"), size)
	if err != nil {
		return err
	}
	fmt.Printf("seed %d, size %s, trace %s\n", size.Seed, size.Name, trace.Name)
	var all []outcome
	for _, way := range simulator.Strategies() {
		all = append(all, outcomeOf(way, size, trace))
	}
	if err := printTable(all); err != nil {
		return err
	}
	line, err := json.Marshal(all)
	if err != nil {
		return errors.Wrap(err, "encoding the comparison")
	}
	fmt.Println(string(line))
	return nil
}

func sizeOf(name string, seed uint64) (simulator.Size, error) {
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
		return simulator.Size{}, &UnknownChoiceError{flag: "size", value: name}
	}
}

func traceOf(name string, size simulator.Size) (simulator.Trace, error) {
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
		return simulator.Trace{}, &UnknownChoiceError{flag: "trace", value: name}
	}
}

func outcomeOf(way simulator.Strategy, size simulator.Size, trace simulator.Trace) outcome {
	scale := 1
	if size.Name == "aim" && way.Name == simulator.Replicated.Name {
		scale = aimScale
		size.LongFlows /= scale
		size.OpeningsPerSecond /= scale
	}
	start := time.Now()
	f := simulator.New(size, way).Play(trace)
	return outcome{Results: f, Scale: scale, WallSeconds: time.Since(start).Seconds()}
}

func printTable(all []outcome) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "way\tscale\topened\tbroken\tlong\tby opening\twrong service\tlate to out\tlate to draining\timbalance\tp99\tB/s\tmax B/s\thanded on\tlost\trecords/flow\t")
	for _, o := range all {
		fmt.Fprintf(w, "%s\t1/%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.4f\t%.2f\t\n",
			o.Strategy, o.Scale, o.FlowsOpened, o.FlowsBroken, o.LongFlowsBroken, o.BrokenByOpening, o.WrongService, o.LateToOut, o.LateToDraining,
			o.ImbalanceMean, o.ImbalanceP99, o.ControlBytes, o.ControlBytesMax, o.HandedOnShare, o.LostShare, o.RecordsPerFlow)
	}
	return errors.Wrap(w.Flush(), "writing the table")
}
