package config

import (
	"sync"
	"sync/atomic"
)

// View is a process's copy of the configuration. Readers load an immutable document; each
// update replaces it by a new one. The revision never goes down, whichever replica an update
// comes from. The methods are safe for concurrent use.
type View struct {
	current atomic.Pointer[Document]
	// mu serializes Replace and Apply. Readers don't take it.
	mu sync.Mutex
}

// NewView returns a view of an empty document at revision 0.
func NewView() *View {
	v := &View{}
	v.current.Store(NewDocument())
	return v
}

// Load returns the current document. The caller must not change it.
func (v *View) Load() *Document { return v.current.Load() }

// Revision returns the current revision.
func (v *View) Revision() uint64 { return v.Load().Revision }

// Replace makes a clone of d the current document if d has a higher revision than the current
// one, and reports whether it did. The values in the maps of d must not change afterwards.
func (v *View) Replace(d *Document) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.Revision <= v.Load().Revision {
		return false
	}
	v.current.Store(d.Clone())
	return true
}

// Apply applies the change sets that follow the current revision, and skips those that the
// view already has. If there is a gap between revisions, it returns an error and leaves the
// current document as it is.
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
