package coordinator

import "trefoilspring.example/trefoilspring/detector"

// Events returns the names of the events that Coordinator.Count is called with.
func Events() []string {
	names := []string{
		"buckets-settled",
		"document-fetch-retried",
		"documents-from-peers",
		"join-retried",
		"malformed-document",
		"permission-lost",
		"settling-retried",
		"stepped-back",
	}
	for _, c := range [...]detector.Condition{detector.Serving, detector.Down, detector.Cold} {
		names = append(names, "target-"+c.String())
	}
	return names
}
