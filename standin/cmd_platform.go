package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/loader"
	"trefoilspring.example/trefoilspring/standin/kvserver"
)

// platformSettings are the settings of the emulated platform.
type platformSettings struct {
	// Address is the TCP address of the platform's API.
	Address string `json:"address" validate:"required"`
	// AdminAddress is the TCP address of the fault switches and call counters.
	AdminAddress string `json:"admin-address" validate:"required"`
}

func cmdPlatform() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve an in-memory key-value service with Consul's HTTP API",
		Description: "Faults are switched on the admin address, for example:\n" +
			"  curl -X POST 'http://127.0.0.1:8501/switch?outage=on'\n" +
			"  curl http://127.0.0.1:8501/calls",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var s platformSettings
			if err := loader.Load(c.String("settings"), &s); err != nil {
				return err
			}
			return servePlatform(ctx, s)
		},
	}
}

// servePlatform serves the platform's API and the admin endpoint until ctx ends. It
// returns an error if an address can't be listened on.
func servePlatform(ctx context.Context, s platformSettings) error {
	apiListener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "listening on the address of the API")
	}
	defer func() { _ = apiListener.Close() }()
	adminListener, err := net.Listen("tcp", s.AdminAddress)
	if err != nil {
		return errors.Wrap(err, "listening on the admin address")
	}
	defer func() { _ = adminListener.Close() }()
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	log.Info("platform stand-in serves", "address", apiListener.Addr().String(), "admin-address", adminListener.Addr().String())
	server := kvserver.New()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(ctx) })
	group.Go(func() error { return serveHTTP(ctx, apiListener, server.API()) })
	group.Go(func() error { return serveHTTP(ctx, adminListener, server.Admin()) })
	return group.Wait()
}

// serveHTTP serves HTTP on listener until ctx ends, and then closes all connections
// without waiting for requests in progress.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serving HTTP")
	}
	return nil
}
