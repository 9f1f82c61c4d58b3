package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/standin/provisioner"
)

func cmdLayout() *cli.Command {
	return &cli.Command{
		Name:  "layout",
		Usage: "write the settings of a whole deployment on this machine",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "write to `DIR`", Required: true},
			&cli.IntFlag{Name: "streams", Usage: "long-lived streams of all callers", Value: 300},
			&cli.FloatFlag{Name: "rate", Usage: "short requests a second of all callers", Value: 60},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the fabric and the callers", Value: 1},
			&cli.IntFlag{Name: "base-port", Usage: "first of about 400 ports, and 4 more for each balancer after the 50th", Value: 21000},
			&cli.IntFlag{Name: "balancers", Usage: "number of balancers", Value: 13},
			&cli.IntFlag{Name: "extra-services", Usage: "services that nobody calls"},
			&cli.IntFlag{Name: "extra-zones", Usage: "spread the extra services over so many zones, and serve one of them"},
			&cli.IntFlag{Name: "extra-targets", Usage: "targets that nobody calls, spread over the extra services"},
			&cli.DurationFlag{Name: "duration", Usage: "how long the callers send", Value: 24 * time.Second},
			&cli.DurationFlag{Name: "deadline", Usage: "how long an attempt of a short request may take", Value: 4 * time.Second},
			&cli.IntFlag{Name: "booking-desk", Usage: "targets of the service booking-desk", Value: 14},
			&cli.IntFlag{Name: "menu-press", Usage: "targets of the service menu-press", Value: 4},
			&cli.DurationFlag{Name: "drain", Usage: "how long a balancer that stops goes on forwarding", Value: 3 * time.Second},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return provisioner.Plan{
				OutputFolder: cmd.String("out"), Streams: cmd.Int("streams"), RequestRate: cmd.Float("rate"),
				Balancers: cmd.Int("balancers"), ExtraServices: cmd.Int("extra-services"), ExtraTargets: cmd.Int("extra-targets"),
				ExtraZones: cmd.Int("extra-zones"),
				Seed:       cmd.Uint64("seed"), BasePort: cmd.Int("base-port"), Duration: cmd.Duration("duration"),
				BookingDeskTargets: cmd.Int("booking-desk"), MenuPressTargets: cmd.Int("menu-press"),
				Deadline: cmd.Duration("deadline"), DrainTime: cmd.Duration("drain"),
			}.Write()
		},
	}
}
