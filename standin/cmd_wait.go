package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/loader"
	"trefoilspring.example/trefoilspring/standin/router"
)

// statsInterval is the time between two requests for the counters of the fabric.
const statsInterval = 100 * time.Millisecond

func cmdWait() *cli.Command {
	return &cli.Command{
		Name:  "wait",
		Usage: "wait until the fabric sends to all of its balancers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings `FILE` of the fabric", Required: true},
			&cli.DurationFlag{Name: "timeout", Usage: "how long to wait", Value: 10 * time.Second},
		},
		Action: waitForBalancers,
	}
}

// waitForBalancers waits until the fabric reports that all balancers in its
// settings are ready. It returns an error after the timeout.
func waitForBalancers(ctx context.Context, cmd *cli.Command) error {
	var settings router.Settings
	if err := loader.Load(cmd.String("settings"), &settings); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	ticker := time.NewTicker(statsInterval)
	defer ticker.Stop()
	ready := 0
	for ready < len(settings.Balancers) {
		select {
		case <-ctx.Done():
			return errors.Newf("%d of %d balancers were ready after %s", ready, len(settings.Balancers), cmd.Duration("timeout"))
		case <-ticker.C:
		}
		if stats, err := fetchStats(ctx, settings); err == nil {
			ready = stats.ReadyBalancers
		}
	}
	return nil
}

// fetchStats asks the admin endpoint of the fabric for its counters.
func fetchStats(ctx context.Context, settings router.Settings) (router.Stats, error) {
	url := "http://" + settings.AdminAddress.String() + "/stats"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return router.Stats{}, errors.Wrap(err, "building the request for the fabric's counters")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return router.Stats{}, errors.Wrap(err, "requesting the fabric's counters")
	}
	defer func() { _ = response.Body.Close() }()
	var stats router.Stats
	return stats, errors.Wrap(json.NewDecoder(response.Body).Decode(&stats), "decoding the fabric's counters")
}
