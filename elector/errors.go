package elector

import "fmt"

// NotHolderError reports a write that was not sent, because the candidate does not
// provably hold the role.
type NotHolderError struct {
	role string
}

// Role returns the name of the role.
func (e *NotHolderError) Role() string { return e.role }

func (e *NotHolderError) Error() string {
	return fmt.Sprintf("this candidate does not hold the role %q: nothing was written", e.role)
}

// FencedError reports a write that did not take effect, because another holder has
// taken the role over.
type FencedError struct {
	role  string
	fence uint64
}

// Role returns the name of the role.
func (e *FencedError) Role() string { return e.role }

// Fence returns the fencing token that the write carried.
func (e *FencedError) Fence() uint64 { return e.fence }

func (e *FencedError) Error() string {
	return fmt.Sprintf("the write to the role %q with fence %d was rejected: another holder has taken over", e.role, e.fence)
}
