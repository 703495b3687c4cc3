package route

import "math/rand/v2"

// splitMix64 is a SplitMix64 random number generator. It does not allocate.
type splitMix64 struct{ state uint64 }

func newSeed() uint64 { return rand.Uint64() }

func (s *splitMix64) next() uint64 {
	s.state += 0x9e3779b97f4a7c15
	return mix64(s.state)
}

// mix64 is the finaliser of SplitMix64. It is also used to hash single 64-bit values.
func mix64(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// intN returns a random number from 0 to n-1, or 0 when n is not positive.
func (s *splitMix64) intN(n int) int {
	if n <= 0 {
		return 0
	}
	return int(s.next() % uint64(n))
}
