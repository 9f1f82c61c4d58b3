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
	// Kind is "availability zone", "service" or "target".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Field is the field that changed; it is empty when the whole entry was added or
	// removed.
	Field string `json:"field,omitempty"`
	// Before is the earlier value of the field, or all fields of a removed entry; it
	// is empty for an added entry.
	Before string `json:"before,omitempty"`
	// After is the later value of the field, or all fields of an added entry; it is
	// empty for a removed entry.
	After string `json:"after,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	switch {
	case c.Field != "":
		return fmt.Sprintf("%s %s: %s changes from %s to %s", c.Kind, c.Name, c.Field, c.Before, c.After)
	case c.Before == "":
		return fmt.Sprintf("%s %s is added (%s)", c.Kind, c.Name, c.After)
	}
	return fmt.Sprintf("%s %s is removed (%s)", c.Kind, c.Name, c.Before)
}

// Diff returns the changes from before to after: availability zones first, then
// services, then targets, each sorted by name. A field that is not set counts as
// its default.
func Diff(before, after Document) []Change {
	changes := diffSection("availability zone", before.AvailabilityZones, after.AvailabilityZones, zoneFields)
	changes = append(changes, diffSection("service", before.Services, after.Services, serviceFields)...)
	return append(changes, diffSection("target", before.Targets, after.Targets, targetFields)...)
}

// field is one field of an entry, with its value as text.
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
		{"state", string(stateOrDefault(t))},
		{"weight", strconv.Itoa(max(t.Weight, 1))},
	}
}

// stateOrDefault returns the state of t, or TargetActive if none is set.
func stateOrDefault(t Target) TargetState {
	if t.State == "" {
		return TargetActive
	}
	return t.State
}

// diffSection compares the entries of one section, such as all services.
func diffSection[T any](kind string, before, after map[string]T, fields func(T) []field) []Change {
	names := slices.Collect(maps.Keys(before))
	names = slices.AppendSeq(names, maps.Keys(after))
	slices.Sort(names)
	var changes []Change
	for _, name := range slices.Compact(names) {
		old, inBefore := before[name]
		updated, inAfter := after[name]
		switch {
		case !inBefore:
			changes = append(changes, Change{Kind: kind, Name: name, After: formatFields(fields(updated))})
		case !inAfter:
			changes = append(changes, Change{Kind: kind, Name: name, Before: formatFields(fields(old))})
		default:
			changes = append(changes, diffFields(kind, name, fields(old), fields(updated))...)
		}
	}
	return changes
}

// diffFields compares two lists of the same fields, in the same order.
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

// formatFields returns names and values, separated by commas.
func formatFields(fields []field) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = f.name + " " + f.value
	}
	return strings.Join(parts, ", ")
}
