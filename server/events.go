package server

// Events returns the names that this package counts by itself.
func Events() []string {
	return []string{"document-not-encoded"}
}
