package state

import (
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// answers stores the newest answers by Entry.answerKey, so that a repeated command gets its first
// answer. Beyond limit it evicts the oldest.
type answers struct {
	limit          int
	byKey          map[string][]byte
	insertionOrder []string
}

func newAnswers(limit int) *answers {
	return &answers{limit: limit, byKey: map[string][]byte{}}
}

func (a *answers) get(key string) ([]byte, bool) {
	answer, ok := a.byKey[key]
	return answer, ok
}

func (a *answers) put(key string, answer []byte) {
	if len(a.insertionOrder) == a.limit {
		delete(a.byKey, a.insertionOrder[0])
		a.insertionOrder = a.insertionOrder[1:]
	}
	a.insertionOrder = append(a.insertionOrder, key)
	a.byKey[key] = answer
}

// accepted returns the answer of an accepted command.
func accepted(body any) *wire.Answer {
	raw, err := wire.Marshal(body)
	if err != nil {
		return refused(internalError(err))
	}
	return &wire.Answer{Body: raw}
}

// refused returns the answer of a refused command.
func refused(r *verdict.Refusal) *wire.Answer {
	return &wire.Answer{Refused: wire.NewRefused(wire.Attempt{}, r)}
}

// internalError returns the refusal for an error that no correct sender causes.
func internalError(err error) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonInternal, 0, "%v", err)
}

// encodeAnswer returns an answer in CBOR. Encoding cannot fail, because the fields of an answer
// are bytes, numbers and strings.
func encodeAnswer(a *wire.Answer) []byte {
	raw, err := wire.Marshal(a)
	if err != nil {
		return nil
	}
	return raw
}
