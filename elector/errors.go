package elector

import "fmt"

// NotHolderError reports a write that was not sent, since the role is not
// provably held.
type NotHolderError struct {
	role string
}

// Role returns the name of the role.
func (e *NotHolderError) Role() string { return e.role }

func (e *NotHolderError) Error() string {
	return fmt.Sprintf("the role %q is not held", e.role)
}

// FencedError reports a write that did not take effect, since another holder has
// taken the role over.
type FencedError struct {
	role  string
	fence uint64
}

// Role returns the name of the role.
func (e *FencedError) Role() string { return e.role }

// Fence returns the fencing revision that the write carried.
func (e *FencedError) Fence() uint64 { return e.fence }

func (e *FencedError) Error() string {
	return fmt.Sprintf("the write to the role %q with fence %d came too late", e.role, e.fence)
}
