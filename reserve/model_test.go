package reserve

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// machine drives a book against an engine that allocates a prompt at some time
// after its dispatch, reports late and with gaps, and restarts.
type machine struct {
	book   *Reservations
	now    float64
	next   int
	ours   map[string]int64 // tokens that the engine has allocated for us
	booked map[string]int64
	others int64 // memory in use by requests that the book does not know
	boot   uint64
	past   []engine.Load
	pastAt []float64
}

func (m *machine) load() engine.Load {
	used := m.others
	for _, tokens := range m.ours {
		used += tokens
	}
	return engine.Load{Boot: m.boot, TotalTokens: memory, FreeTokens: memory - used}
}

func (m *machine) pick(t *rapid.T) string {
	ids := make([]string, 0, len(m.booked))
	for i := range m.next {
		if _, ok := m.booked[fmt.Sprint(i)]; ok {
			ids = append(ids, fmt.Sprint(i))
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *machine) tick() {
	m.now += 0.05
	m.past = append(m.past, m.load())
	m.pastAt = append(m.pastAt, m.now)
}

// TestBookNeverOverfillsTheEngine holds, under any order of dispatches, allocations,
// first tokens, releases, restarts and late, crossed or missing reports, that the
// reservations stay within the engine's memory beside a constant use by others.
func TestBookNeverOverfillsTheEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{book: NewReservations(DefaultSettings()), ours: map[string]int64{}, booked: map[string]int64{}, boot: 1}
		m.others = rapid.Int64Range(0, memory/2).Draw(t, "others")
		m.tick()
		m.book.ApplyReport(after(m.now), m.load())
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				id := fmt.Sprint(m.next)
				m.next++
				tokens := rapid.Int64Range(1, memory).Draw(t, "tokens")
				if reserve(m.book, m.now, id, tokens) == nil {
					m.booked[id] = tokens
				}
			},
			"allocate": func(t *rapid.T) {
				if id := m.pick(t); id != "" {
					m.ours[id] = m.booked[id]
				}
			},
			"first token": func(t *rapid.T) {
				id := m.pick(t)
				if id == "" {
					return
				}
				m.ours[id] = m.booked[id]
				m.book.RecordUsage(after(m.now), id, m.booked[id])
			},
			"finish": func(t *rapid.T) {
				id := m.pick(t)
				delete(m.ours, id)
				delete(m.booked, id)
				m.book.Release(after(m.now), id)
			},
			"report": func(t *rapid.T) {
				i := rapid.IntRange(max(len(m.past)-10, 0), len(m.past)-1).Draw(t, "lag")
				m.book.ApplyReport(after(m.pastAt[i]), m.past[i])
			},
			"restart": func(t *rapid.T) {
				m.boot++
				clear(m.ours)
				clear(m.booked)
				m.past, m.pastAt = nil, nil
				m.tick()
				m.book.ApplyReport(after(m.now), m.load())
			},
			"": func(t *rapid.T) {
				m.tick()
				sum := int64(0)
				for _, tokens := range m.booked {
					sum += tokens
				}
				if sum != m.book.Reserved() {
					t.Fatalf("booked %d, held %d", sum, m.book.Reserved())
				}
				if sum+m.others > memory {
					t.Fatalf("booked %d beside %d of others", sum, m.others)
				}
			},
		})
	})
}
