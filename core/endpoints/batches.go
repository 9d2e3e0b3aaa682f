package endpoints

// MaxBatch is the number of hosts of a list that are applied at a time. GETs then wait for less than a
// millisecond.
const MaxBatch = 64

// Batches divides a list into batches that are applied one after another, so that a long list does not delay
// GETs. Entries for which stopping returns true come first: they are hosts that get no more work, and their
// grace period is already running.
func Batches[E any](list []E, stopping func(E) bool, maxSize int) (batches [][]E) {
	ordered := make([]E, 0, len(list))
	for _, wantStopping := range []bool{true, false} {
		for _, e := range list {
			if stopping(e) == wantStopping {
				ordered = append(ordered, e)
			}
		}
	}
	for ; len(ordered) > maxSize; ordered = ordered[maxSize:] {
		batches = append(batches, ordered[:maxSize])
	}
	return append(batches, ordered)
}
