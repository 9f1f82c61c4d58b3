// Package listener serves HTTP on a TCP address until a context ends.
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

// readHeaderTimeout limits how long reading the headers of a request may take.
const readHeaderTimeout = 5 * time.Second

// Serve serves HTTP on address with handler until ctx ends, and then closes all
// connections without waiting for requests in progress. It returns an error if the
// address can't be listened on or the server fails.
func Serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "serving HTTP on %s", address)
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}
