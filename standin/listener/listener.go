// Package listener serves HTTP at an address until its context ends.
//
// # Usage
//
//	mux := http.NewServeMux()
//	return listener.Serve(ctx, address, mux)
package listener

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// headerTimeout bounds the reading of the header of a request.
const headerTimeout = 5 * time.Second

// Serve answers requests by handler until ctx ends.
func Serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "serving %s", address)
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}
