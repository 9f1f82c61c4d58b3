package main

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/balancer"
	"trefoilspring.example/trefoilspring/logger"
	"trefoilspring.example/trefoilspring/platform"
)

// metricsPort is the port that serves metrics on the VM's address; it is also in
// deploy/system.toml.
const metricsPort = 9464

func cmdBalance() *cli.Command {
	return &cli.Command{
		Name:  "balance",
		Usage: "run a balancer on the users' platform until it is told to stop",
		Description: `Reads the settings file that the platform writes, whose path is in the
environment variable ` + platform.SettingsVariable + `. Serves until SIGTERM or
SIGINT, then goes on until the routers have turned away. Logs JSON lines on
standard output.

Example:
   trefoilspring balance --log-level info

` + serveExitHelp,
		Flags:        []cli.Flag{logLevelFlag()},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			return withExitCode(balance(ctx, logLevels[c.String(logLevelName)]))
		},
	}
}

func balance(ctx context.Context, level slog.Level) error {
	// Installed first: the signal must not end a process that is starting.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	limitMemory(settings.MemoryBytes())
	lines := logger.New(os.Stdout)
	log := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: level}))
	store := platform.NewStore(settings.StoreAddress())
	b := balancer.New(withMetrics(settings), platform.Fabric(), platform.Directory(store), log)
	b.Hangup = hangup
	b.LoadSettings = func() (balancer.Settings, error) {
		s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		return withMetrics(s), err
	}

	writing, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return lines.Run(writing) })
	group.Go(func() error {
		// Collecting twice as often costs as much time as all the rest of a start, so
		// it begins after that.
		select {
		case <-b.Viewed():
		case <-writing.Done():
		}
		debug.SetGCPercent(gcPercent)
		return nil
	})
	err = b.Run(ctx)
	if err != nil {
		log.Error("balancer failed", "cause", err.Error())
	}
	stopWriting()
	_ = group.Wait()
	return err
}

// withMetrics adds the metrics address, which the platform leaves to us.
func withMetrics(s platform.Settings) balancer.Settings {
	own := s.Balancer()
	own.MetricsAddress = netip.AddrPortFrom(own.DataAddress.Addr(), metricsPort)
	return own
}

// memoryShare is the part of the process's limit from which on the garbage
// collector works harder, so that bytes that wait in sockets still fit.
const memoryShare = 0.6

func limitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit)))
	}
}
