package operator

import (
	"maps"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"trefoilspring.example/trefoilspring/loader"
)

// Patch returns the JSON Merge Patch (RFC 7396) that turns before into after. Both
// are documents in canonical encoding.
func Patch(before, after []byte) ([]byte, error) {
	patch, err := jsonpatch.CreateMergePatch(before, after)
	return patch, errors.Wrap(err, "computing the patch")
}

// documentPatch is a merge patch of a document, split by section and name. The
// value of a name is the patch of that entry, or null to delete it.
type documentPatch struct {
	AvailabilityZones map[string]jsontext.Value `json:"availability-zones"`
	Services          map[string]jsontext.Value `json:"services"`
	Targets           map[string]jsontext.Value `json:"targets"`
}

// Apply returns d with a JSON Merge Patch applied; it doesn't change d. Its cost is
// proportional to the number of entries that the patch names, except for a copy of
// each map that changes. The result is not validated.
func Apply(d Document, patch []byte) (Document, error) {
	var change documentPatch
	if err := loader.Unmarshal("patch", patch, &change); err != nil {
		return Document{}, err
	}
	zones, err := patchSection(d.AvailabilityZones, change.AvailabilityZones)
	if err != nil {
		return Document{}, err
	}
	services, err := patchSection(d.Services, change.Services)
	if err != nil {
		return Document{}, err
	}
	targets, err := patchSection(d.Targets, change.Targets)
	if err != nil {
		return Document{}, err
	}
	return Document{AvailabilityZones: zones, Services: services, Targets: targets}, nil
}

// patchSection returns section with changes applied. It copies the map if there
// are any.
func patchSection[T any](section map[string]T, changes map[string]jsontext.Value) (map[string]T, error) {
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
		entry, err := patchEntry(old, found, change)
		if err != nil {
			return nil, errors.Wrapf(err, "patching %q", name)
		}
		result[name] = entry
	}
	return result, nil
}

// patchEntry returns old with the merge patch change applied. If found is false,
// the entry is new and the patch is applied to an empty object.
func patchEntry[T any](old T, found bool, change jsontext.Value) (T, error) {
	var entry T
	before := []byte("{}")
	if found {
		encoded, err := json.Marshal(old, json.Deterministic(true))
		if err != nil {
			return entry, errors.Wrap(err, "encoding")
		}
		before = encoded
	}
	after, err := jsonpatch.MergePatch(before, change)
	if err != nil {
		return entry, errors.Wrap(err, "merging")
	}
	return entry, loader.Unmarshal("patch", after, &entry)
}
