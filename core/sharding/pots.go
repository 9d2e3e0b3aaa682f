package sharding

import "math"

const (
	trialFor = 3.0     // s; a shard that has the trial of a host and asks for none by then loses it
	mostPots = 1 << 12 // hosts; more than a list has
)

// Pots is what shards may send to hosts that are cold or were left, together: what one module would.
type Pots struct {
	cold   map[uint32]*pot
	trials map[uint32]trial
}

type pot struct {
	credit float64 // s of sending time
	most   float64
	since  float64 // the host's start; another one begins a new pot
}

type trial struct {
	shard int
	until float64
}

// Add puts what one shard's pace allows into the pot of a host that started at a time, up to most, and gives what is in
// it; first is what a pot begins with.
func (p *Pots) Add(host uint32, since, first, add, most float64) (credit float64) {
	if p.cold == nil {
		p.cold = map[uint32]*pot{}
	}
	c := p.cold[host]
	if c == nil || c.since != since {
		if len(p.cold) >= mostPots {
			clear(p.cold) // of hosts long warm
		}
		c = &pot{credit: first, since: since}
		p.cold[host] = c
	}
	c.most = most
	c.credit = math.Min(c.credit+add, math.Max(most, c.credit))
	return c.credit
}

// Spend takes what a GET costs out of a host's pot; false if it is not there any more.
func (p *Pots) Spend(host uint32, work float64) bool {
	c := p.cold[host]
	if c == nil || c.credit < work {
		return false
	}
	c.credit -= work
	return true
}

// Trial tells whether a shard may try a host that was left: one at a time does, until it is done or asks no more.
func (p *Pots) Trial(now float64, host uint32, shard int) bool {
	if p.trials == nil {
		p.trials = map[uint32]trial{}
	}
	t, there := p.trials[host]
	if there && t.shard != shard && now < t.until {
		return false
	}
	if !there && len(p.trials) >= mostPots {
		clear(p.trials)
	}
	p.trials[host] = trial{shard, now + trialFor}
	return true
}

// Done ends the trials of a host, which has recovered.
func (p *Pots) Done(host uint32) { delete(p.trials, host) }
