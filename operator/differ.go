package operator

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Change is one difference between two documents.
type Change struct {
	// Kind is the kind of thing that differs, such as "target".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Field is empty when the whole thing was added or removed.
	Field string `json:"field,omitempty"`
	// Before is empty for a thing that was added.
	Before string `json:"before,omitempty"`
	// After is empty for a thing that was removed.
	After string `json:"after,omitempty"`
}

// String says the change in words.
func (c Change) String() string {
	switch {
	case c.Field != "":
		return fmt.Sprintf("%s %s: %s changes from %s to %s", c.Kind, c.Name, c.Field, c.Before, c.After)
	case c.Before == "":
		return fmt.Sprintf("%s %s is added (%s)", c.Kind, c.Name, c.After)
	}
	return fmt.Sprintf("%s %s is removed (%s)", c.Kind, c.Name, c.Before)
}

// Diff returns what changes from before to after, in a fixed order.
func Diff(before, after Document) []Change {
	changes := diffSection("availability zone", before.AvailabilityZones, after.AvailabilityZones, zoneFields)
	changes = append(changes, diffSection("service", before.Services, after.Services, serviceFields)...)
	return append(changes, diffSection("target", before.Targets, after.Targets, targetFields)...)
}

type field struct {
	name  string
	value string
}

func zoneFields(z AvailabilityZone) []field {
	return []field{{"state", string(z.State)}}
}

func serviceFields(s Service) []field {
	addresses := make([]string, len(s.Addresses))
	for i, address := range s.Addresses {
		addresses[i] = address.String()
	}
	return []field{
		{"addresses", strings.Join(addresses, ",")},
		{"protocol", string(s.Protocol)},
		{"cold-start flows", strconv.Itoa(s.ColdStart.Flows)},
		{"cold-start ramp", time.Duration(s.ColdStart.Ramp).String()},
		{"idle-timeout", time.Duration(s.IdleTimeout).String()},
	}
}

func targetFields(t Target) []field {
	health := "none"
	if t.Health.IsValid() {
		health = t.Health.String()
	}
	return []field{
		{"service", t.Service},
		{"availability-zone", t.AvailabilityZone},
		{"address", t.Address.String()},
		{"health", health},
		{"state", string(stateOf(t))},
		{"weight", strconv.Itoa(max(t.Weight, 1))},
	}
}

// stateOf returns the state of t, which is active by default.
func stateOf(t Target) TargetState {
	if t.State == "" {
		return TargetActive
	}
	return t.State
}

func diffSection[T any](kind string, before, after map[string]T, fields func(T) []field) []Change {
	names := slices.Collect(maps.Keys(before))
	names = slices.AppendSeq(names, maps.Keys(after))
	slices.Sort(names)
	var changes []Change
	for _, name := range slices.Compact(names) {
		old, had := before[name]
		now, has := after[name]
		switch {
		case !had:
			changes = append(changes, Change{Kind: kind, Name: name, After: words(fields(now))})
		case !has:
			changes = append(changes, Change{Kind: kind, Name: name, Before: words(fields(old))})
		default:
			changes = append(changes, diffFields(kind, name, fields(old), fields(now))...)
		}
	}
	return changes
}

func diffFields(kind, name string, before, after []field) []Change {
	var changes []Change
	for i, old := range before {
		if old.value != after[i].value {
			changes = append(changes, Change{
				Kind:   kind,
				Name:   name,
				Field:  old.name,
				Before: old.value,
				After:  after[i].value,
			})
		}
	}
	return changes
}

func words(fields []field) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = f.name + " " + f.value
	}
	return strings.Join(parts, ", ")
}
