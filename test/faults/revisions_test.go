package faults_test

import (
	"sync"
	"time"
)

// revisionMonitor polls the balancers and counts how often one has an earlier revision in
// force than it had before. A restart of a balancer does not reset its latest revision.
type revisionMonitor struct {
	stop        chan struct{}
	once        sync.Once
	group       sync.WaitGroup
	mu          sync.Mutex
	latest      map[string]uint64
	regressions int
	samples     int
}

// monitorRevisions polls all balancers until finish is called.
func monitorRevisions(d *deployment) *revisionMonitor {
	m := &revisionMonitor{stop: make(chan struct{}), latest: make(map[string]uint64)}
	for _, name := range d.balancers {
		m.group.Go(func() {
			for {
				if status, err := d.status(name); err == nil {
					m.record(name, status.ActiveRevision)
				}
				select {
				case <-m.stop:
					return
				case <-time.After(2 * pollInterval):
				}
			}
		})
	}
	return m
}

// record takes the revision that a balancer has in force; 0 means none.
func (m *revisionMonitor) record(balancer string, active uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples++
	if active == 0 {
		return
	}
	if active < m.latest[balancer] {
		m.regressions++
	}
	m.latest[balancer] = active
}

// finish stops polling. It returns how often a balancer returned to an earlier revision,
// and how many samples were taken.
func (m *revisionMonitor) finish() (regressions, samples int) {
	m.once.Do(func() { close(m.stop) })
	m.group.Wait()
	return m.regressions, m.samples
}
