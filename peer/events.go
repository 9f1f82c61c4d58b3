package peer

// Events returns all event names that the package passes to Node.Count.
func Events() []string {
	return []string{
		"connection-dropped",
		"dial-failed",
		"forged-sender",
		"handshake-refused",
		"heartbeat-bytes-sent",
		"heartbeat-not-encoded",
		"heartbeat-not-sent",
		"heartbeats-received",
		"heartbeats-sent",
		"malformed-heartbeat",
		"malformed-request",
		"record-bytes-sent",
		"record-stream-ended",
		"connections-renewed",
		"records-not-sent",
		"records-received",
		"records-sent",
		"reply-not-encoded",
		"reply-not-sent",
		"request-cut-short",
	}
}
