package route

import "math/rand/v2"

// source is a small random generator (SplitMix64) that allocates nothing.
type source struct{ state uint64 }

func newSeed() uint64 { return rand.Uint64() }

func (s *source) next() uint64 {
	s.state += 0x9e3779b97f4a7c15
	return mix(s.state)
}

// mix is the finaliser of SplitMix64: a good hash of one word.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// below returns a number from 0 to n-1, or 0 when n is not positive.
func (s *source) below(n int) int {
	if n <= 0 {
		return 0
	}
	return int(s.next() % uint64(n))
}
