package server

// Events returns the names of the events that this package counts. The packages that the
// server runs list their own events.
func Events() []string {
	return []string{"document-not-encoded"}
}
