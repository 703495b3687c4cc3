package state

import (
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// answers keeps the newest answers by sender and identifier, oldest first out.
type answers struct {
	limit int
	byID  map[string][]byte
	order []string
}

func newAnswers(limit int) *answers {
	return &answers{limit: limit, byID: map[string][]byte{}}
}

func (a *answers) get(id string) ([]byte, bool) {
	kept, ok := a.byID[id]
	return kept, ok
}

func (a *answers) put(id string, answer []byte) {
	if len(a.order) == a.limit {
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
	a.order = append(a.order, id)
	a.byID[id] = answer
}

func accept(body any) *wire.Answer {
	raw, err := wire.Marshal(body)
	if err != nil {
		return refuse(internal(err))
	}
	return &wire.Answer{Body: raw}
}

func refuse(r *verdict.Refusal) *wire.Answer {
	return &wire.Answer{Refused: wire.NewRefused(wire.Attempt{}, r)}
}

func internal(err error) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonInternal, 0, "%v", err)
}

// encode never fails for an answer: its fields are bytes, numbers and strings.
func encode(a *wire.Answer) []byte {
	raw, err := wire.Marshal(a)
	if err != nil {
		return nil
	}
	return raw
}
