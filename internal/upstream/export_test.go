package upstream

// Exhaust takes all that may be begun by now.
func (d *Dials) Exhaust() {
	for d.begin() {
	}
}
