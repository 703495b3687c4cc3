package config

import (
	"sync"
	"sync/atomic"
)

// View is a process's own copy of the configuration. Readers load a document
// that never changes; a change swaps in a new one. The revision never goes down,
// whichever replica an update came from.
type View struct {
	current atomic.Pointer[Document]
	// mu serialises the writers.
	mu sync.Mutex
}

// NewView returns a view of the empty document at revision 0.
func NewView() *View {
	v := &View{}
	v.current.Store(NewDocument())
	return v
}

// Load returns the current document. The caller must not change it.
func (v *View) Load() *Document { return v.current.Load() }

// Revision returns the current revision.
func (v *View) Revision() uint64 { return v.Load().Revision }

// Replace makes d the current document unless its revision is lower than or
// equal to the current one, and reports whether it did. The view owns d from then on.
func (v *View) Replace(d *Document) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.Revision <= v.Load().Revision {
		return false
	}
	v.current.Store(d.Clone())
	return true
}

// Apply makes the changes that follow on the current revision and skips those
// that the view has. It fails on a gap and then keeps the document as it was.
func (v *View) Apply(changes []ChangeSet) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.Load()
	var next *Document
	for _, r := range changes {
		if r.Revision <= current.Revision {
			continue
		}
		if next == nil {
			next = current.Clone()
		}
		if err := next.Apply(r); err != nil {
			return err
		}
	}
	if next != nil {
		v.current.Store(next)
	}
	return nil
}
