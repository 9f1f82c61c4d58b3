package watcher

import (
	"context"

	"trefoilspring.example/trefoilspring/publisher"
)

// Recoveries returns how often this watcher wrote the platform's record again because the
// platform had returned to an earlier revision.
func (w *Watcher) Recoveries() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.recoveries
}

// recover writes the platform's record again if the platform has returned to an earlier
// revision. It returns false if the platform failed to answer.
func (w *Watcher) recover(ctx context.Context) bool {
	if w.planRecovery(w.platformRoot) == publisher.KeepRoot {
		return true
	}
	inForce, root := w.Record(), w.Root()
	// platformRoot may come from a stale read, so Recover reads the root again and
	// decides by that.
	recovery, err := publisher.New(w.store, "").Recover(ctx, inForce, root, w.planRecovery)
	if err != nil {
		w.Log.Warn("recovering the platform's record failed", "error", err)
		return false
	}
	if recovery == publisher.KeepRoot {
		return true
	}
	w.mu.Lock()
	w.recoveries++
	w.mu.Unlock()
	w.Log.Error("platform returned to an earlier revision; record written again", "renumbered", recovery == publisher.RenumberRoot,
		"platform-revision", w.platformRoot.Revision, "platform-change-id", w.platformRoot.ChangeID, "in-force", inForce.Revision)
	return true
}

// planRecovery calls Core.PlanRecovery for a root of the platform.
func (w *Watcher) planRecovery(root publisher.Root) publisher.Recovery {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.PlanRecovery(root.Revision, root.ChangeID)
}
