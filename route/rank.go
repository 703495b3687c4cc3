package route

import (
	"cmp"
	"slices"
)

// rankKey is the sort key of an endpoint in the order of ranks.
type rankKey struct {
	index int
	zone  string
	hash  uint64
	// position is the endpoint's relative position within its zone, between 0 and 1.
	position float64
}

// rank assigns the ranks of the endpoints in service. The ranks depend only on names
// and availability zones, so that all entries agree on them without communication, and
// the lowest ranks are spread over the zones.
func (g *group) rank() {
	keys := make([]rankKey, 0, len(g.endpoints))
	for i := range g.endpoints {
		e := &g.endpoints[i]
		if !e.OutOfService {
			keys = append(keys, rankKey{index: i, zone: e.Zone, hash: e.hash})
		}
	}
	assignPositions(keys)
	slices.SortFunc(keys, func(a, b rankKey) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.hash, b.hash))
	})
	for r, k := range keys {
		g.endpoints[k.index].Rank = r
	}
	for i := range g.endpoints {
		g.endpoints[i].RankCount = len(keys)
		if g.endpoints[i].OutOfService {
			g.endpoints[i].Rank = g.rankBefore(i)
		}
	}
}

// rankBefore returns the rank of the endpoint before i in the same zone, or 0. An
// endpoint that is out of service gets this rank, so that ranks do not decrease within
// a zone and lanesInZone can use binary search.
func (g *group) rankBefore(i int) int {
	if i == 0 || g.endpoints[i-1].Zone != g.endpoints[i].Zone {
		return 0
	}
	return g.endpoints[i-1].Rank
}

// assignPositions sets the position of each endpoint within its zone, by hash of name.
func assignPositions(keys []rankKey) {
	slices.SortFunc(keys, func(a, b rankKey) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.hash, b.hash))
	})
	for from := 0; from < len(keys); {
		to := from
		for to < len(keys) && keys[to].zone == keys[from].zone {
			to++
		}
		for i := from; i < to; i++ {
			keys[i].position = (float64(i-from) + 0.5) / float64(to-from)
		}
		from = to
	}
}
