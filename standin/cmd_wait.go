package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/loader"
	"trefoilspring.example/trefoilspring/standin/sprayer"
)

// waitInterval is the time between two looks at the fabric.
const waitInterval = 100 * time.Millisecond

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

func waitForBalancers(ctx context.Context, cmd *cli.Command) error {
	var settings sprayer.Settings
	if err := loader.Load(cmd.String("settings"), &settings); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	in := 0
	for in < len(settings.Balancers) {
		select {
		case <-ctx.Done():
			return errors.Newf("%d of %d balancers were in after %s", in, len(settings.Balancers), cmd.Duration("timeout"))
		case <-ticker.C:
		}
		if stats, err := fabricStats(ctx, settings); err == nil {
			in = stats.BalancersIn
		}
	}
	return nil
}

func fabricStats(ctx context.Context, settings sprayer.Settings) (sprayer.Stats, error) {
	url := "http://" + settings.AdminAddress.String() + "/stats"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return sprayer.Stats{}, errors.Wrap(err, "building a request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return sprayer.Stats{}, errors.Wrap(err, "asking the fabric")
	}
	defer func() { _ = response.Body.Close() }()
	var stats sprayer.Stats
	return stats, errors.Wrap(json.NewDecoder(response.Body).Decode(&stats), "reading the fabric's counts")
}
