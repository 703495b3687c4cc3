package route

import (
	"cmp"
	"slices"
)

// ranked is an endpoint's key in the order of lanes.
type ranked struct {
	index int
	zone  string
	hash  uint64
	// share is the endpoint's place within its zone, from 0 to 1.
	share float64
}

// rank orders the endpoints that are in for use as lanes. The order depends on
// names and zones only, so that entries agree on it without a message, and it
// spreads the first lanes over the zones.
func (g *group) rank() {
	keys := make([]ranked, 0, len(g.entries))
	for i := range g.entries {
		e := &g.entries[i]
		if !e.OutOfService {
			keys = append(keys, ranked{index: i, zone: e.Zone, hash: e.hash})
		}
	}
	spread(keys)
	slices.SortFunc(keys, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.hash, b.hash))
	})
	for r, k := range keys {
		g.entries[k.index].Rank = r
	}
	for i := range g.entries {
		g.entries[i].RankCount = len(keys)
		if g.entries[i].OutOfService {
			g.entries[i].Rank = g.rankBefore(i)
		}
	}
}

// rankBefore returns the rank of the endpoint before i in its zone, or 0. Endpoints
// that are out take it, so that ranks grow within a zone and can be searched.
func (g *group) rankBefore(i int) int {
	if i == 0 || g.entries[i-1].Zone != g.entries[i].Zone {
		return 0
	}
	return g.entries[i-1].Rank
}

// spread gives each endpoint its share: its place by hash within its zone.
func spread(keys []ranked) {
	slices.SortFunc(keys, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.hash, b.hash))
	})
	for from := 0; from < len(keys); {
		to := from
		for to < len(keys) && keys[to].zone == keys[from].zone {
			to++
		}
		for i := from; i < to; i++ {
			keys[i].share = (float64(i-from) + 0.5) / float64(to-from)
		}
		from = to
	}
}
