package server

import (
	"context"
	"time"

	"trefoilspring.example/trefoilspring/platform"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/watcher"
)

// newWatcher returns the watcher of the platform's record.
func (s *Server) newWatcher() *watcher.Watcher {
	w := watcher.New(platform.New(s.settings.Platform))
	w.Log = s.log
	w.OnDocument = func(r publisher.Record) {
		s.offer(time.Now(), r)
	}
	return w
}

func (s *Server) watchPlatform(ctx context.Context) error {
	return s.watcher.Run(ctx)
}
