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
	"trefoilspring.example/trefoilspring/standin/keeper"
)

// platformSettings are the settings of the platform stand-in.
type platformSettings struct {
	// Address serves the platform's API.
	Address string `json:"address" validate:"required"`
	// AdminAddress serves the switches and counters.
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

func servePlatform(ctx context.Context, s platformSettings) error {
	api, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "listening for the API")
	}
	defer func() { _ = api.Close() }()
	admin, err := net.Listen("tcp", s.AdminAddress)
	if err != nil {
		return errors.Wrap(err, "listening for the admin")
	}
	defer func() { _ = admin.Close() }()
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	log.Info("platform stand-in serves", "address", api.Addr().String(), "admin-address", admin.Addr().String())
	server := keeper.New()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(ctx) })
	group.Go(func() error { return serveHTTP(ctx, api, server.API()) })
	group.Go(func() error { return serveHTTP(ctx, admin, server.Admin()) })
	return group.Wait()
}

// serveHTTP serves until ctx is done.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serving")
	}
	return nil
}
