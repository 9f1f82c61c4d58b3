package faults_test

import (
	"sync"
	"time"
)

// revisionWatch sees that no balancer goes back to an earlier revision, also not
// over a restart.
type revisionWatch struct {
	stop    chan struct{}
	once    sync.Once
	group   sync.WaitGroup
	mu      sync.Mutex
	latest  map[string]uint64
	reverts int
	looks   int
}

// watchRevisions looks at all balancers until the watch ends.
func watchRevisions(d *deployment) *revisionWatch {
	w := &revisionWatch{stop: make(chan struct{}), latest: make(map[string]uint64)}
	for _, name := range d.balancers {
		w.group.Go(func() {
			for {
				if status, err := d.status(name); err == nil {
					w.see(name, status.Active)
				}
				select {
				case <-w.stop:
					return
				case <-time.After(2 * look):
				}
			}
		})
	}
	return w
}

// see takes the revision in force on a balancer; 0 is none.
func (w *revisionWatch) see(balancer string, active uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	if active == 0 {
		return
	}
	if active < w.latest[balancer] {
		w.reverts++
	}
	w.latest[balancer] = active
}

// end returns how often a revision went back, in how many looks.
func (w *revisionWatch) end() (reverts, looks int) {
	w.once.Do(func() { close(w.stop) })
	w.group.Wait()
	return w.reverts, w.looks
}
