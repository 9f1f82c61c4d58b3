package main

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/server"
)

func cmdServe() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run a balancer until it is told to stop",
		Description: `Reads the settings file and serves until SIGTERM or SIGINT, then drains and
ends. A second signal ends it at once.

Example:
   trefoilspring serve --settings balancer.json --log-level warn

` + serveExitHelp,
		Flags:        []cli.Flag{settingsFlag(), logLevelFlag()},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			return withExitCode(serve(ctx, c))
		},
	}
}

// gcPercent is the value of GOGC for a balancer: a garbage collection starts when
// the heap has grown by half, so that the process stays small. With serve, the
// environment variable GOGC takes precedence.
const gcPercent = 50

func serve(ctx context.Context, c *cli.Command) error {
	settings, err := server.LoadSettings(c.String(settingsFlagName))
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: logLevels[c.String(logLevelFlagName)]}))
	s, err := server.New(settings, log)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	return s.Run(ctx)
}
