package balancer

import (
	"context"
	"maps"
	"slices"
	"time"
)

// settingsPollInterval is the interval at which the settings are reloaded without a
// signal, since the platform may change them without sending one.
const settingsPollInterval = 5 * time.Second

// watchSettings reloads the settings periodically and on Hangup until ctx ends.
func (b *Balancer) watchSettings(ctx context.Context) error {
	if b.LoadSettings == nil {
		return nil
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	r := reloader{balancer: b, current: b.settings}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.Hangup:
			b.log.Info("reloading settings")
			r.reload()
		case <-ticker.C:
			r.reload()
		}
	}
}

// reloader applies changed settings. It logs each change once, and an error only if it
// differs from the previous one.
type reloader struct {
	balancer  *Balancer
	current   Settings
	lastError string
}

func (r *reloader) reload() {
	b := r.balancer
	s, err := b.LoadSettings()
	if err != nil {
		if err.Error() != r.lastError {
			b.log.Warn("settings refused; the last good ones stay", "cause", err.Error())
		}
		r.lastError = err.Error()
		return
	}
	r.lastError = ""
	if !slices.Equal(s.Seeds, r.current.Seeds) {
		b.seeds.Store(&s.Seeds)
		b.log.Info("settings changed", "field", "seeds")
	}
	for _, field := range changedFixedFields(r.current, s) {
		b.log.Warn("settings changed; this field takes effect at the next start", "field", field)
	}
	r.current = s
}

// changedFixedFields returns the names of the fields that differ and take effect only
// after a restart.
func changedFixedFields(before, after Settings) []string {
	var fields []string
	for _, f := range []struct {
		name    string
		differs bool
	}{
		{"name", before.Name != after.Name},
		{"availability-zone", before.AvailabilityZone != after.AvailabilityZone},
		{"regions", !maps.Equal(before.Regions, after.Regions)},
		{"data-address", before.DataAddress != after.DataAddress},
		{"ready-address", before.ReadyAddress != after.ReadyAddress},
		{"peer-address", before.PeerAddress != after.PeerAddress},
		{"metrics-address", before.MetricsAddress != after.MetricsAddress},
	} {
		if f.differs {
			fields = append(fields, f.name)
		}
	}
	return fields
}
