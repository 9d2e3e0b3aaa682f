package dispatcher

import "elderwall/core/routing"

// left tells whether a GET's client no longer waits, and word of that has not come here yet: it may be in line behind what stands still. Any
// goroutine may ask.
func (g *get) left() bool { return !g.closed.Load() && !g.call.Open() }

// gone takes word that a client no longer waits from a forward that was kept back for it; true if that forward has its end by this. Guards
// against further forwards for a client that has left, each of which would be kept back too.
func (n *Node) gone(now float64, f *forward) bool {
	if !f.get.left() {
		return false
	}
	n.Options.Counts.GivenUp.Add(1)
	n.leave(now, f.get)
	return f.back
}

// withdraw takes back what has not gone out of a GET that is over. Guards against forwards that begin for nobody where hosts can't be told to
// stop: the module cancels nothing there, and what waits for its connection would go out once that is up.
func (n *Node) withdraw(g *get) {
	if n.Settings.CanCancel {
		return
	}
	for _, f := range g.forwards {
		if !f.back && f.takeBack() {
			n.Options.Counts.Recalled.Add(1)
			n.back(f, routing.AttemptResult{Outcome: routing.Withdrawn})
		}
	}
}
