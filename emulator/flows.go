package emulator

import (
	"math"

	"elderwall/core/timerwheel"
)

// pipe is a link that its transfers share evenly, as far as each has use for its part.
type pipe struct {
	kb    float64 // a second; 0 carries any number
	flows []*flow
}

// flow is a transfer: it goes at its full pace, or at its part of the narrowest of its links.
type flow struct {
	*world
	left     float64 // KB, as of at
	rate, at float64 // KB a second
	pipes    []*pipe
	timer    *timerwheel.Timer[func()]
	done     func()
}

// carry begins a transfer of so many KB.
func (w *world) carry(kb float64, done func(), pipes ...*pipe) *flow {
	f := &flow{world: w, left: kb, at: w.now, pipes: pipes, done: done}
	for _, p := range pipes {
		p.flows = append(p.flows, f)
	}
	f.pace() // also where no link bounds it
	f.share()
	return f
}

// share has all transfers on the links of one go at what is theirs now.
func (f *flow) share() {
	for _, p := range f.pipes {
		if p.kb > 0 {
			for _, o := range p.flows {
				o.pace()
			}
		}
	}
}

// pace sets a transfer's rate and its end anew.
func (f *flow) pace() {
	f.left -= f.rate * (f.now - f.at)
	f.at = f.now
	rate := f.Pace
	for _, p := range f.pipes {
		if p.kb > 0 {
			rate = math.Min(rate, p.kb/float64(len(p.flows)))
		}
	}
	if rate == f.rate {
		return
	}
	f.rate = rate
	f.events.Remove(f.timer)
	f.timer = f.world.at(f.now+math.Max(0, f.left)/rate, func() { f.halt(); f.done() })
}

// halt takes a transfer off its links.
func (f *flow) halt() {
	f.events.Remove(f.timer)
	for _, p := range f.pipes {
		for i, o := range p.flows {
			if o == f {
				p.flows = append(p.flows[:i], p.flows[i+1:]...)
				break
			}
		}
	}
	f.share()
}
