package reserve

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// simulation compares Reservations with an engine that allocates the memory of a prompt
// some time after its dispatch, reports its load late and with gaps, and restarts.
type simulation struct {
	reservations *Reservations
	now          float64
	next         int
	allocated    map[string]int64 // tokens that the engine has allocated, by reservation
	reserved     map[string]int64 // tokens reserved
	otherUse     int64            // memory in use without a reservation
	boot         uint64
	// pastLoads holds the load at each tick, and pastTimes the time of each tick.
	pastLoads []engine.Load
	pastTimes []float64
}

func (s *simulation) load() engine.Load {
	used := s.otherUse
	for _, tokens := range s.allocated {
		used += tokens
	}
	return engine.Load{Boot: s.boot, TotalTokens: memoryTokens, FreeTokens: memoryTokens - used}
}

func (s *simulation) drawReservation(t *rapid.T) string {
	ids := make([]string, 0, len(s.reserved))
	for i := range s.next {
		if _, ok := s.reserved[fmt.Sprint(i)]; ok {
			ids = append(ids, fmt.Sprint(i))
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (s *simulation) tick() {
	s.now += 0.05
	s.pastLoads = append(s.pastLoads, s.load())
	s.pastTimes = append(s.pastTimes, s.now)
}

// TestReservationsNeverExceedTheMemory checks that the reservations and a constant use by
// others stay within the engine's memory, under any order of dispatches, allocations,
// first tokens, releases, restarts and delayed, reordered or missing reports.
func TestReservationsNeverExceedTheMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{reservations: NewReservations(DefaultSettings()), allocated: map[string]int64{}, reserved: map[string]int64{}, boot: 1}
		s.otherUse = rapid.Int64Range(0, memoryTokens/2).Draw(t, "others")
		s.tick()
		s.reservations.ApplyReport(after(s.now), s.load())
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				id := fmt.Sprint(s.next)
				s.next++
				tokens := rapid.Int64Range(1, memoryTokens).Draw(t, "tokens")
				if reserve(s.reservations, s.now, id, tokens) == nil {
					s.reserved[id] = tokens
				}
			},
			"allocate": func(t *rapid.T) {
				if id := s.drawReservation(t); id != "" {
					s.allocated[id] = s.reserved[id]
				}
			},
			"first token": func(t *rapid.T) {
				id := s.drawReservation(t)
				if id == "" {
					return
				}
				s.allocated[id] = s.reserved[id]
				s.reservations.RecordUsage(after(s.now), id, s.reserved[id])
			},
			"finish": func(t *rapid.T) {
				id := s.drawReservation(t)
				delete(s.allocated, id)
				delete(s.reserved, id)
				s.reservations.Release(after(s.now), id)
			},
			"report": func(t *rapid.T) {
				i := rapid.IntRange(max(len(s.pastLoads)-10, 0), len(s.pastLoads)-1).Draw(t, "lag")
				s.reservations.ApplyReport(after(s.pastTimes[i]), s.pastLoads[i])
			},
			"restart": func(t *rapid.T) {
				s.boot++
				clear(s.allocated)
				clear(s.reserved)
				s.pastLoads, s.pastTimes = nil, nil
				s.tick()
				s.reservations.ApplyReport(after(s.now), s.load())
			},
			"": func(t *rapid.T) {
				s.tick()
				total := int64(0)
				for _, tokens := range s.reserved {
					total += tokens
				}
				if total != s.reservations.Reserved() {
					t.Fatalf("reservations add up to %d, but Reserved returns %d", total, s.reservations.Reserved())
				}
				if total+s.otherUse > memoryTokens {
					t.Fatalf("reservations of %d and use by others of %d exceed the memory", total, s.otherUse)
				}
			},
		})
	})
}
