package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/platform/soaker"
)

func cmdSoak() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real balancers among stand-ins of the users' platform and inject faults",
		Description: "Example:\n" +
			"  standin soak --binary bin/trefoilspring --seed 1 --seeds 50 --length 30s\n\n" +
			"Exits with 1 if a promise was broken; settings and logs of that run stay.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "run `FILE`", Value: "bin/trefoilspring"},
			&cli.Uint64Flag{Name: "seed", Usage: "begin with seed `N`", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "run `N` seeds one after the other", Value: 1},
			&cli.DurationFlag{Name: "length", Usage: "inject faults for `TIME`", Value: 30 * time.Second},
			&cli.IntFlag{Name: "balancers", Usage: "run `N` balancers", Value: 6},
			&cli.IntFlag{Name: "servers", Usage: "run `N` targets", Value: 12},
			&cli.IntFlag{Name: "callers", Usage: "run `N` callers", Value: 24},
			&cli.IntFlag{Name: "block", Usage: "use the addresses of block `N`, for runs at the same time"},
			&cli.StringSliceFlag{Name: "fault", Usage: "use only the kind `NAME`; may be given again"},
			&cli.StringFlag{Name: "hide", Usage: "have the store hide keys under `PREFIX`, which must be found"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			brokenRuns := 0
			for n := range c.Int("seeds") {
				report, err := soaker.Soak(ctx, soaker.Options{
					Binary: c.String("binary"), Seed: c.Uint64("seed") + uint64(n), FaultDuration: c.Duration("length"),
					Balancers: c.Int("balancers"), Servers: c.Int("servers"), Callers: c.Int("callers"),
					AddressBlock: c.Int("block"), Faults: c.StringSlice("fault"), HiddenPrefix: c.String("hide"),
				})
				if err != nil {
					return err
				}
				fmt.Printf("seed %d: %d of %d requests served, %d openings rejected, %d faults, %d calls to the store, %d breaks\n",
					report.Seed, report.Served, report.Requests, report.Rejected, len(report.Injected), report.StoreRequests, len(report.Violations))
				for _, v := range report.Violations {
					fmt.Println(" ", v)
				}
				fmt.Println("  faults:", report.Injected)
				if len(report.Violations) > 0 {
					brokenRuns++
					fmt.Println("  logs:", report.Folder)
				}
			}
			if brokenRuns > 0 {
				return errors.Newf("%d of %d runs broke a promise", brokenRuns, c.Int("seeds"))
			}
			return nil
		},
	}
}
