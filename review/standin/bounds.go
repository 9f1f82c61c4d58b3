package main

import "time"

// bounds are the bounds of a site that a case judges by.
type bounds struct {
	contact, ack, catchUp, drain, configApply, maxStretch, recovery time.Duration
}

// Bounds of the sites, from the users' pages.
var (
	kettleBooking = bounds{
		contact: 4 * time.Second, ack: 5 * time.Second, catchUp: 4 * time.Second, drain: 3 * time.Second,
		configApply: 3 * time.Second, maxStretch: 12 * time.Second, recovery: 12 * time.Second,
	}
	kettleBookingGrown = bounds{
		contact: 5 * time.Second, ack: 8 * time.Second, catchUp: 6 * time.Second, drain: 5 * time.Second,
		configApply: 5 * time.Second, maxStretch: 15 * time.Second, recovery: 15 * time.Second,
	}
)

// settings returns the bounds as a settings file has them.
func (b bounds) settings() map[string]any {
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": b.contact.Milliseconds(), "ackMs": b.ack.Milliseconds(),
		"catchUpS": b.catchUp.Seconds(), "drainMs": b.drain.Milliseconds(), "graceS": 6, "lossSlackMs": 200,
		"configApplyMs": b.configApply.Milliseconds(), "backMs": 250, "maxStretchMs": b.maxStretch.Milliseconds(),
		"warmupOverrun": 1.5, "warmupSlack": 5, "evacuateMs": 5000, "recoveryS": b.recovery.Seconds(), "reorderMs": 2000, "flowTtlS": 60,
	}
}
