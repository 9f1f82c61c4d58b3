package consul

// Entry holds the state of one key. The zero value is an absent key.
type Entry struct {
	found      bool
	value      []byte
	index      uint64
	lockIndex  uint64
	session    string
	storeIndex uint64
}

// EntryFields holds the arguments of NewEntry. The methods of Entry with the same
// names document the fields.
type EntryFields struct {
	Value      []byte
	Index      uint64
	LockIndex  uint64
	Session    string
	StoreIndex uint64
}

// NewEntry returns the entry of a key that exists.
func NewEntry(f EntryFields) Entry {
	return Entry{
		found:      true,
		value:      f.Value,
		index:      f.Index,
		lockIndex:  f.LockIndex,
		session:    f.Session,
		storeIndex: f.StoreIndex,
	}
}

// AbsentEntry returns the entry of a key that does not exist when the store's index
// is storeIndex.
func AbsentEntry(storeIndex uint64) Entry {
	return Entry{storeIndex: storeIndex}
}

// Found reports whether the key exists.
func (e Entry) Found() bool { return e.found }

// Value returns the value of the key. The caller must not modify the slice.
func (e Entry) Value() []byte { return e.value }

// Index returns the index of the key's last change (Consul's ModifyIndex), for
// CompareAndSwap and Delete. It is 0 for an absent key.
func (e Entry) Index() uint64 { return e.index }

// LockIndex returns the number of times that the key was acquired. It increases
// whenever a session acquires the key, and can be used as a fencing token.
func (e Entry) LockIndex() uint64 { return e.lockIndex }

// Session returns the id of the session that holds the key, or an empty string if
// no session does.
func (e Entry) Session() string { return e.session }

// StoreIndex returns the index in the header of the store's response, for
// NextIndex.
func (e Entry) StoreIndex() uint64 { return e.storeIndex }
