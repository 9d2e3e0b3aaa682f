package upstream

// Exhaust takes all that may be begun by now.
func (d *Dials) Exhaust() {
	for d.begin() {
	}
}

// MostStopped is the bound of ids that a connection keeps as stopped.
const MostStopped = mostStopped
