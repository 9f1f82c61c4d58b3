package balancer

import (
	"context"
	"maps"
	"slices"
	"time"
)

// settingsInterval is how often the settings are read again without being told,
// since the platform may change them in silence.
const settingsInterval = 5 * time.Second

// watchSettings takes up changed settings until ctx ends.
func (b *Balancer) watchSettings(ctx context.Context) error {
	if b.LoadSettings == nil {
		return nil
	}
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	r := reloader{balancer: b, last: b.settings}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.Hangup:
			b.log.Info("settings are read again")
			r.reload()
		case <-ticker.C:
			r.reload()
		}
	}
}

// reloader takes up changed settings and reports each change, or fault, once.
type reloader struct {
	balancer *Balancer
	last     Settings
	fault    string
}

func (r *reloader) reload() {
	b := r.balancer
	s, err := b.LoadSettings()
	if err != nil {
		if err.Error() != r.fault {
			b.log.Warn("settings refused; the last good ones stay", "cause", err.Error())
		}
		r.fault = err.Error()
		return
	}
	r.fault = ""
	if !slices.Equal(s.Seeds, r.last.Seeds) {
		b.seeds.Store(&s.Seeds)
		b.log.Info("settings changed", "field", "seeds")
	}
	for _, field := range fixedFields(r.last, s) {
		b.log.Warn("settings changed; this field takes effect at the next start", "field", field)
	}
	r.last = s
}

// fixedFields names the fields that differ and that a running balancer keeps.
func fixedFields(before, after Settings) []string {
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
