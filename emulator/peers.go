package emulator

import (
	"elderwall/core/routing"
	"elderwall/core/sharding"
)

// group is the modules of one dispatcher, with what they have in common: the same pots as in a process, and news that
// the others hear within a tick.
type group struct {
	pots    sharding.SharedCredits
	members []*dispatcher
}

// peers is a group as one of its modules sees it.
type peers struct {
	*group
	own *dispatcher
	at  int
}

var _ routing.ShardPeers = (*peers)(nil)

func (p *peers) AccrueCredit(host uint32, since, first, add, most float64) float64 {
	return p.pots.Accrue(host, since, first, add, most)
}

func (p *peers) SpendCredit(host uint32, work float64) bool { return p.pots.Spend(host, work) }

func (p *peers) ClaimProbe(now float64, host uint32) bool { return p.pots.ClaimProbe(now, host, p.at) }

// Publish has the others hear of something with their next task.
func (p *peers) Publish(n routing.PeerUpdate) {
	if !n.Ejected && n.Limit == routing.NoLimit {
		p.pots.EndProbe(n.Host)
	}
	for _, d := range p.members {
		if d != p.own {
			d.at(d.now, func() { d.module.HandlePeerUpdate(d.now, n) })
		}
	}
}
