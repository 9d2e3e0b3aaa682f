package variant

import "slices"

// Parts is in how many modules the objects are best kept where several drivers ask at once: each has a lock of its own, so that they seldom
// meet. It is one where something is presumed, which counts objects of all, and where there are few objects.
func Parts(s *Settings) int {
	if s.Objects < partLeast<<partBits || s.Objects > MaxObjects || slices.ContainsFunc(s.Services, func(v Service) bool { return v.Presume != nil }) {
		return 1
	}
	return 1 << partBits
}

// PartOf is the part of an object by its number, of so many as Parts gives.
func PartOf(number uint64, parts int) int {
	if parts == 1 {
		return 0
	}
	return int(number * 0x9e3779b97f4a7c15 >> (64 - partBits)) // by Knuth's multiplier: neighbours are spread
}
