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

// Result is the answer to a statement. It can be encoded as JSON or written as text.
type Result interface {
	// WriteText writes the answer as text for operators.
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
	// ID identifies the order in the audit log.
	ID string `json:"id"`
	// Revision is the configuration revision after the order; zero if the order changes no
	// configuration.
	Revision uint64 `json:"revision,omitempty"`
	// Fence is the fencing number of an order to an engine; zero for other orders.
	Fence uint64 `json:"fence,omitempty"`
	// AcceptedBefore is set if control had accepted the order when it was sent earlier.
	AcceptedBefore bool `json:"accepted_before,omitempty"`
	// Summary describes the order in the audit log, if AcceptedBefore is set.
	Summary string `json:"what,omitempty"`
	// Key is the new key of a client account, which is not stored and cannot be shown again.
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

// InForce is the answer to a wait statement whose revision is applied in every process.
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

// maxShownChanges is how many changes of one order entryText lists.
const maxShownChanges = 3

// entryText describes in one line the changes of an order or the order to an engine.
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
