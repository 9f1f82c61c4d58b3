// Package requester emulates callers. It keeps long-lived streams open and sends
// short requests over HTTP/3 through the fabric, each on a new flow, and writes the
// outcome of each to its journal.
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
// A short request is retried only if it is idempotent, or if it was refused with
// the statement that it did not run.
package requester

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/standin/encapsulator"
	"trefoilspring.example/trefoilspring/standin/journal"
)

// streamStartInterval is the time between the openings of two streams at the start
// of a load.
const streamStartInterval = 5 * time.Millisecond

// Requester is a caller process, which emulates many callers.
type Requester struct {
	settings Settings
	tunnel   *encapsulator.Tunnel
	journal  *journal.Writer
	sources  *sourcePool
}

// New opens the socket and the journal of a caller process. It returns an error if
// either can't be opened.
func New(s Settings) (*Requester, error) {
	w, err := journal.OpenWriter(s.Journal)
	if err != nil {
		return nil, err
	}
	tunnel, err := encapsulator.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Requester{
		settings: s, tunnel: tunnel, journal: w,
		sources: &sourcePool{prefixes: s.SourcePrefixes},
	}, nil
}

// Run sends the loads until the configured duration is over or ctx ends. It then
// closes the streams and waits for the outcome of the short requests in progress.
// It returns an error if the journal or the socket fails.
func (c *Requester) Run(ctx context.Context) error {
	slog.Info("caller started", "caller", c.settings.Name, "seed", c.settings.Seed)
	defer func() { _ = c.journal.Close() }()
	tunnelCtx, stopTunnel := context.WithCancel(context.WithoutCancel(ctx))
	var tunnelGroup errgroup.Group
	tunnelGroup.Go(func() error { return c.tunnel.Run(tunnelCtx) })

	sendCtx, cancel := context.WithTimeout(ctx, time.Duration(c.settings.Duration))
	defer cancel()
	var group errgroup.Group
	for i, load := range c.settings.Loads {
		group.Go(func() error { return c.maintainStreams(sendCtx, load) })
		random := rand.New(rand.NewPCG(c.settings.Seed, uint64(i)))
		group.Go(func() error { return c.sendShortRequests(sendCtx, load, random) })
	}
	err := group.Wait()
	stopTunnel()
	if tunnelErr := tunnelGroup.Wait(); err == nil {
		err = tunnelErr
	}
	slog.Info("caller ended", "caller", c.settings.Name)
	return err
}

// requestID returns the id of the request n of a load and a kind; it is unique
// among all caller processes.
func (c *Requester) requestID(load Load, kind journal.Kind, n int) string {
	return fmt.Sprintf("%s-%s-%s-%d", c.settings.Name, load.Service, kind, n)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
