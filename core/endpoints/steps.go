package endpoints

// MostTaken is how many hosts of a list are taken in at a time: GETs wait for less than a millisecond then.
const MostTaken = 64

// Steps divides a list into parts that are taken in one after the other, so that a long one holds up no GET. Hosts that
// get no more work come first: the grace runs for them.
func Steps[E any](list []E, stops func(E) bool, most int) (parts [][]E) {
	ordered := make([]E, 0, len(list))
	for _, first := range []bool{true, false} {
		for _, e := range list {
			if stops(e) == first {
				ordered = append(ordered, e)
			}
		}
	}
	for ; len(ordered) > most; ordered = ordered[most:] {
		parts = append(parts, ordered[:most])
	}
	return append(parts, ordered)
}
