package control

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// maxReportBytes bounds a report in one message, which has some bytes more than its data.
const maxReportBytes = wire.MaxFrameBytes / 2

// encode returns the report as the data of one or more messages: of several if it is too large for one. It leaves out
// a record that cannot be encoded or is too large by itself, and calls leftOut with it, so that one record does not
// keep all others from the receiver.
func (m *report) encode(leftOut func(record string, err error)) ([][]byte, error) {
	data, err := wire.Marshal(m)
	if err == nil && len(data) <= maxReportBytes {
		return [][]byte{data}, nil
	}
	if err == nil {
		err = errors.Errorf("%d bytes are over the limit of %d", len(data), maxReportBytes)
	}
	switch m.records() {
	case 0:
		return nil, err
	case 1:
		leftOut(m.describe(), err)
		return (&report{Full: m.Full, More: m.More}).encode(leftOut)
	}
	first, second := m.halves()
	head, err := first.encode(leftOut)
	if err != nil {
		return nil, err
	}
	tail, err := second.encode(leftOut)
	return append(head, tail...), err
}

// records returns the number of records in the report.
func (m *report) records() int {
	return len(m.Sessions) + len(m.Closed) + len(m.Demands) + len(m.Departed)
}

// describe names the first record of the report.
func (m *report) describe() string {
	switch {
	case len(m.Sessions) > 0:
		return fmt.Sprintf("session or registration %q", m.Sessions[0].Key)
	case len(m.Demands) > 0:
		return fmt.Sprintf("demand of %q", m.Demands[0].Process)
	case len(m.Departed) > 0:
		return fmt.Sprintf("departure of %q", m.Departed[0].Name)
	case len(m.Closed) > 0:
		return fmt.Sprintf("end of %q", m.Closed[0])
	}
	return "no record"
}

// halves returns the report as two parts, the second of which follows the first.
func (m *report) halves() (first, second *report) {
	n := m.records() / 2
	first, second = &report{Full: m.Full, More: true}, &report{More: m.More}
	first.Departed, second.Departed = cut(m.Departed, &n)
	first.Sessions, second.Sessions = cut(m.Sessions, &n)
	first.Closed, second.Closed = cut(m.Closed, &n)
	first.Demands, second.Demands = cut(m.Demands, &n)
	return first, second
}

// cut returns the first n elements of list and the others, and lowers n by the number of the first ones.
func cut[T any](list []T, n *int) (first, rest []T) {
	k := min(*n, len(list))
	*n -= k
	return list[:k], list[k:]
}

// joinParts returns the report that earlier parts, nil if there are none, and next form together.
func joinParts(earlier, next *report) *report {
	if earlier == nil {
		return next
	}
	return &report{
		Full: earlier.Full, More: next.More,
		Sessions: slices.Concat(earlier.Sessions, next.Sessions), Closed: slices.Concat(earlier.Closed, next.Closed),
		Demands: slices.Concat(earlier.Demands, next.Demands), Departed: slices.Concat(earlier.Departed, next.Departed),
	}
}
