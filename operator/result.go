package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
)

// Result is the answer to a statement. It is encoded as JSON, or written as text.
type Result interface {
	// WriteText writes the answer for a person.
	WriteText(w io.Writer) error
}

// Write writes a result, as one line of JSON or as text.
func Write(w io.Writer, r Result, asJSON bool) error {
	if !asJSON {
		return r.WriteText(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	return errors.Wrap(encoder.Encode(r), "write result")
}

// Accepted is the answer to an order.
type Accepted struct {
	// ID identifies the order in the audit listing.
	ID string `json:"id"`
	// Revision is the configuration revision that the order made.
	Revision uint64 `json:"revision,omitempty"`
	// Fence is the fencing number of an order to an engine.
	Fence uint64 `json:"fence,omitempty"`
	// AcceptedBefore is set when the order had been accepted by an earlier sending.
	AcceptedBefore bool `json:"accepted_before,omitempty"`
	// Summary says what an earlier sending did.
	Summary string `json:"what,omitempty"`
	// Key is a new key of a client account, shown this once.
	Key string `json:"key,omitempty"`
}

var _ Result = (*Accepted)(nil)

// WriteText writes the revision or fencing number, and the new key.
func (a *Accepted) WriteText(w io.Writer) error {
	var b strings.Builder
	b.WriteString("accepted")
	if a.AcceptedBefore {
		b.WriteString(" before")
	}
	if a.Revision > 0 {
		fmt.Fprintf(&b, " as revision %d", a.Revision)
	}
	if a.Fence > 0 {
		fmt.Fprintf(&b, " with fencing number %d", a.Fence)
	}
	if a.Summary != "" {
		fmt.Fprintf(&b, ": %s", a.Summary)
	}
	fmt.Fprintf(&b, " (order %s)\n", a.ID)
	if a.Key != "" {
		fmt.Fprintf(&b, "key: %s\nThe key is not kept and cannot be shown again.\n", a.Key)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write answer")
}

// InForce is the answer to a wait that ended well.
type InForce struct {
	Revision uint64 `json:"revision_in_force"`
}

var _ Result = (*InForce)(nil)

// WriteText writes the revision.
func (f *InForce) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "revision %d is in force everywhere\n", f.Revision)
	return errors.Wrap(err, "write answer")
}

// AuditLog is the answer to a history statement.
type AuditLog struct {
	Entries []command.AuditEntry `json:"entries"`
}

var _ Result = (*AuditLog)(nil)

// WriteText writes one line for each order.
func (l *AuditLog) WriteText(w io.Writer) error {
	t := &Table{columns: []column{{"revision", number}, {"when", text}, {"who", text}, {"order", text}, {"what", text}}}
	for i := range l.Entries {
		e := &l.Entries[i]
		when := e.When.UTC().Format(time.RFC3339)
		t.rows = append(t.rows, []value{float64(e.Revision), when, e.Who, e.ID, entryText(e)})
	}
	return t.WriteText(w)
}

// maxShownChanges bounds the changes of one order that a line lists.
const maxShownChanges = 3

// entryText says in one line what an order did.
func entryText(e *command.AuditEntry) string {
	var texts []string
	for i, c := range e.Changes {
		if i == maxShownChanges {
			texts = append(texts, fmt.Sprintf("and %d more", len(e.Changes)-i))
			break
		}
		texts = append(texts, describeChange(c))
	}
	if e.Order != nil {
		texts = append(texts, fmt.Sprintf("%s %s on %s, fencing number %d", e.Order.Action, e.Order.Value, e.Order.Endpoint, e.Order.Fence))
	}
	return strings.Join(texts, "; ")
}
