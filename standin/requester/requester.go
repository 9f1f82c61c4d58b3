// Package requester stands in for callers: it keeps long-lived streams open and
// sends short requests, each on a flow of its own, by HTTP/3 through the fabric,
// and journals what it saw of each.
//
// # Usage
//
//	var s requester.Settings
//	if err := loader.Load("caller.json", &s); err != nil {
//		return err
//	}
//	c, err := requester.New(s)
//	if err != nil {
//		return err
//	}
//	return c.Run(ctx)
//
// Only idempotent requests, and those that were refused as not run, are retried.
package requester

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/standin/journal"
	"trefoilspring.example/trefoilspring/standin/wrapper"
)

// streamSpacing is the time between two streams that are opened at the start.
const streamSpacing = 5 * time.Millisecond

// Requester is a caller process.
type Requester struct {
	settings Settings
	link     *wrapper.Link
	journal  *journal.Writer
	sources  *sources
}

// New opens the socket and the journal of a caller process.
func New(s Settings) (*Requester, error) {
	w, err := journal.Create(s.Journal)
	if err != nil {
		return nil, err
	}
	link, err := wrapper.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Requester{
		settings: s, link: link, journal: w,
		sources: &sources{prefixes: s.SourcePrefixes},
	}, nil
}

// Run sends the load until its duration is over or ctx ends; then it ends the
// streams itself and waits for the answers that are due.
func (c *Requester) Run(ctx context.Context) error {
	slog.Info("caller started", "caller", c.settings.Name, "seed", c.settings.Seed)
	defer func() { _ = c.journal.Close() }()
	linkCtx, stopLink := context.WithCancel(context.WithoutCancel(ctx))
	var link errgroup.Group
	link.Go(func() error { return c.link.Run(linkCtx) })

	loadCtx, cancel := context.WithTimeout(ctx, time.Duration(c.settings.Duration))
	defer cancel()
	var group errgroup.Group
	for i, load := range c.settings.Loads {
		group.Go(func() error { return c.keepStreams(loadCtx, load) })
		random := rand.New(rand.NewPCG(c.settings.Seed, uint64(i)))
		group.Go(func() error { return c.sendShort(loadCtx, load, random) })
	}
	err := group.Wait()
	stopLink()
	if linkErr := link.Wait(); err == nil {
		err = linkErr
	}
	slog.Info("caller ended", "caller", c.settings.Name)
	return err
}

// id names a request uniquely over all caller processes.
func (c *Requester) id(load Load, kind journal.Kind, n int) string {
	return fmt.Sprintf("%s-%s-%s-%d", c.settings.Name, load.Service, kind, n)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
