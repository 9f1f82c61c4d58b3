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

// metricsPort is the port on the VM's address that serves metrics. It is also
// set in deploy/system.toml, and the two must agree.
const metricsPort = 9464

func cmdBalance() *cli.Command {
	return &cli.Command{
		Name:  "balance",
		Usage: "run a balancer on the users' platform until it is told to stop",
		Description: `Reads the settings file that the platform writes, whose path is in the
environment variable ` + platform.SettingsVariable + `. Serves until SIGTERM or
SIGINT, then goes on forwarding until the routers no longer send it packets.
Logs JSON lines on standard output.

Example:
   trefoilspring balance --log-level info

` + serveExitHelp,
		Flags:        []cli.Flag{logLevelFlag()},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			return withExitCode(balance(ctx, logLevels[c.String(logLevelFlagName)]))
		},
	}
}

func balance(ctx context.Context, level slog.Level) error {
	// The handler is installed before anything else, since a SIGHUP that isn't caught
	// would end the process during its start.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	setMemoryLimit(settings.MemoryBytes())
	logWriter := logger.New(os.Stdout)
	log := slog.New(slog.NewJSONHandler(logWriter, &slog.HandlerOptions{Level: level}))
	store := platform.NewStore(settings.StoreAddress())
	store.OnUnreadable = func(err error) {
		log.Warn("cannot read the store's changes; listing all keys", "cause", err.Error())
	}
	b := balancer.New(withMetricsAddress(settings), platform.Fabric(), platform.Directory(store), log)
	b.Hangup = hangup
	b.LoadSettings = func() (balancer.Settings, error) {
		s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		return withMetricsAddress(s), err
	}

	logContext, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return logWriter.Run(logContext) })
	group.Go(func() error {
		// gcPercent makes garbage collections twice as frequent. During the start,
		// that costs as much time as everything else, so it is set only once the
		// balancer has its first view.
		select {
		case <-b.ViewReady():
		case <-logContext.Done():
		}
		debug.SetGCPercent(gcPercent)
		return nil
	})
	err = b.Run(ctx)
	if err != nil {
		log.Error("balancer failed", "cause", err.Error())
	}
	stopLogging()
	_ = group.Wait()
	return err
}

// withMetricsAddress returns the balancer's settings with a metrics address,
// which the platform's settings don't include.
func withMetricsAddress(s platform.Settings) balancer.Settings {
	settings := s.Balancer()
	settings.MetricsAddress = netip.AddrPortFrom(settings.DataAddress.Addr(), metricsPort)
	return settings
}

// memoryLimitShare is the share of the process's memory limit that is set as the
// soft limit of the Go runtime. Near it, the garbage collector runs more often;
// the rest leaves room for socket buffers.
const memoryLimitShare = 0.6

// setMemoryLimit sets the soft limit of the Go runtime for a process that may use
// limit bytes; 0 sets none.
func setMemoryLimit(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit)))
	}
}
