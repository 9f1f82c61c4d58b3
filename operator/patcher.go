package operator

import (
	"maps"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"trefoilspring.example/trefoilspring/loader"
)

// Patch returns the JSON Merge Patch (RFC 7396) that turns before into after,
// given in their canonical encodings.
func Patch(before, after []byte) ([]byte, error) {
	patch, err := jsonpatch.CreateMergePatch(before, after)
	return patch, errors.Wrap(err, "computing the patch")
}

// delta is a patch of a document, by the names of what it changes.
type delta struct {
	AvailabilityZones map[string]jsontext.Value `json:"availability-zones"`
	Services          map[string]jsontext.Value `json:"services"`
	Targets           map[string]jsontext.Value `json:"targets"`
}

// Apply returns d changed by a merge patch. It leaves d as it is, and costs work
// for what the patch names, besides a copy of the maps. The result is not
// validated.
func Apply(d Document, patch []byte) (Document, error) {
	var change delta
	if err := loader.Strict("patch", patch, &change); err != nil {
		return Document{}, err
	}
	zones, err := applySection(d.AvailabilityZones, change.AvailabilityZones)
	if err != nil {
		return Document{}, err
	}
	services, err := applySection(d.Services, change.Services)
	if err != nil {
		return Document{}, err
	}
	targets, err := applySection(d.Targets, change.Targets)
	if err != nil {
		return Document{}, err
	}
	return Document{AvailabilityZones: zones, Services: services, Targets: targets}, nil
}

func applySection[T any](section map[string]T, changes map[string]jsontext.Value) (map[string]T, error) {
	if len(changes) == 0 {
		return section, nil
	}
	result := maps.Clone(section)
	if result == nil {
		result = map[string]T{}
	}
	for name, change := range changes {
		if change.Kind() == 'n' {
			delete(result, name)
			continue
		}
		old, found := section[name]
		thing, err := applyThing(old, found, change)
		if err != nil {
			return nil, errors.Wrapf(err, "changing %q", name)
		}
		result[name] = thing
	}
	return result, nil
}

func applyThing[T any](old T, found bool, change jsontext.Value) (T, error) {
	var thing T
	before := []byte("{}")
	if found {
		encoded, err := json.Marshal(old, json.Deterministic(true))
		if err != nil {
			return thing, errors.Wrap(err, "encoding")
		}
		before = encoded
	}
	after, err := jsonpatch.MergePatch(before, change)
	if err != nil {
		return thing, errors.Wrap(err, "merging")
	}
	return thing, loader.Strict("patch", after, &thing)
}
