package watcher

import (
	"context"

	"trefoilspring.example/trefoilspring/publisher"
)

// Recovered returns how often the platform's record was written again, after the
// platform had gone back to an earlier one.
func (w *Watcher) Recovered() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.recovered
}

// recover writes the platform's record again if the platform went back, and
// reports whether the platform answered.
func (w *Watcher) recover(ctx context.Context) bool {
	if w.decide(w.platform) == publisher.LeaveRoot {
		return true
	}
	held, root := w.Record(), w.Root()
	// The read that found this may be stale, so Recover reads and decides anew.
	recovery, err := publisher.New(w.store, "").Recover(ctx, held, root, w.decide)
	if err != nil {
		w.Log.Warn("record of the platform not recovered", "error", err)
		return false
	}
	if recovery == publisher.LeaveRoot {
		return true
	}
	w.mu.Lock()
	w.recovered++
	w.mu.Unlock()
	w.Log.Error("platform went back, record written again", "renumbered", recovery == publisher.Renumber,
		"platform-revision", w.platform.Revision, "platform-change-id", w.platform.ChangeID, "in-force", held.Revision)
	return true
}

func (w *Watcher) decide(root publisher.Root) publisher.Recovery {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Recover(root.Revision, root.ChangeID)
}
