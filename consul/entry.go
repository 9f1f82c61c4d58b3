package consul

// Entry is what the platform holds at one key. The zero value is an absent key.
type Entry struct {
	found      bool
	value      []byte
	index      uint64
	lockIndex  uint64
	session    string
	storeIndex uint64
}

// EntryFields are the parts of an Entry, for those who make one.
type EntryFields struct {
	Value      []byte
	Index      uint64
	LockIndex  uint64
	Session    string
	StoreIndex uint64
}

// NewEntry returns an entry that is present.
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

// AbsentEntry returns an entry of a key that is absent at storeIndex.
func AbsentEntry(storeIndex uint64) Entry {
	return Entry{storeIndex: storeIndex}
}

// Found reports whether the key is present.
func (e Entry) Found() bool { return e.found }

// Value returns the value, which the caller must not change.
func (e Entry) Value() []byte { return e.value }

// Index returns the index of the key's last change, for CompareAndSwap; it is 0
// for an absent key.
func (e Entry) Index() uint64 { return e.index }

// LockIndex returns how often the key was acquired: it grows with each new
// holder and serves as a fencing token.
func (e Entry) LockIndex() uint64 { return e.lockIndex }

// Session returns the session that holds the key; it is empty when none does.
func (e Entry) Session() string { return e.session }

// StoreIndex returns the index that the store answered with, for NextIndex.
func (e Entry) StoreIndex() uint64 { return e.storeIndex }
