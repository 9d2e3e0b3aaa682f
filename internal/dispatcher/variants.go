package dispatcher

import (
	"elderwall/core/routing"
	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/hostproto"
)

// Variants is the stage behind the gate that names the variant of an object that a GET is sent for. It has a lock of its own and answers at
// once; several shards share it.
type Variants interface {
	// Key names the variant that stands for a GET's own, and the object by that; ok false for one that goes as it came.
	Key(now float64, in *routing.Request, device string) (v Variant, object string, ok bool)
	// Own is the name of an object by a GET's own variant.
	Own(in *routing.Request, v Variant) (object string)
	// Field is what a request to a host bears for a class, and the class's name.
	Field(service int, class int16) (pair, name string)
	// Proof is what tells whether two contents are the same; 0 for nothing. The body is nil where no bytes pass here.
	Proof(service int, p hostproto.Proofs, body []byte) uint64
	// Answered takes what an answer tells, and gives whether it fits the GET that it was sent for. Here and in Fits the GET's object may be
	// named by any variant: the variant's number counts.
	Answered(now float64, in *routing.Request, v Variant, e Evidence) (fits bool)
	// Fits tells whether an answer that was told will do for another GET, by all that is known by now.
	Fits(now float64, in *routing.Request, v Variant, e Evidence) bool
	// Purged takes a purge by its time (Unix ms) and the number under which it was heard; an object of "" is a whole group. It gives the
	// object's names by its variants besides its own. Each shard tells of it.
	Purged(time int64, order uint64, object string, group int) (names []string)
}

// Variant is which of an object's a GET is to get. The zero value is for what goes as it came.
type Variant struct {
	Number     uint64 // of the object, as the stage knows it
	Own, Asked int16  // classes
	Beside     int16  // place in the order of hosts that it is sent by, 0 for the class's own
	Declared   bool
	Presumed   bool   // that both are the same
	Tagged     bool   // a tag tells contents apart whatever the class
	Told       uint64 // newest purge that the stage had been told of when it gave the key
}

// Evidence is what an answer to a forward tells of a variant's content.
type Evidence struct {
	Asked   int16 // class
	Beside  int16 // place in the order of hosts
	Host    uint32
	Known   uint64 // number of the newest event that its sender had heard when the forward was sent
	Told    uint64 // newest purge that the stage had been told of by then, or before
	Proof   uint64 // 0 for none
	Version uint64 // 0 for none
}

// enterVariant finds out for which variant a GET is sent; those with a body, or that must not run twice, go as they came. Whoever holds a
// copy may have it from another class: it is told of to a host only where tags tell contents apart whatever the class.
func (n *Node) enterVariant(now float64, g *get, device string) {
	if len(g.request.Body) > 0 || n.Settings.Settings.Services[g.asks.Service].Idempotency != routing.Idempotent {
		return
	}
	v, object, ok := n.Variants.Key(now, &g.asks, device)
	if !ok {
		return
	}
	g.variant, g.asks.Object = v, object
	if !v.Tagged {
		g.request.Tag = ""
	}
	if v.Own != v.Asked {
		n.Options.Counts.Rewritten.Add(1)
	}
}

// asked is a GET as its client sent it.
func (g *get) asked() routing.Request {
	in := g.asks
	in.Object = g.request.Object
	return in
}

// sendVariant books what a forward is sent for, and gives what its request bears for that.
func (n *Node) sendVariant(f *forward, host uint32) (pair string) {
	v := f.get.variant
	if !v.Declared {
		return ""
	}
	f.evidence = Evidence{Asked: v.Asked, Beside: v.Beside, Host: host, Known: n.heard, Told: v.Told}
	pair, _ = n.Variants.Field(f.get.asks.Service, v.Asked)
	return pair
}

// provenVariant has an answer leave its evidence, and tells whether it will do for the client that it was sent for.
func (n *Node) provenVariant(f *forward, p hostproto.Proofs, body []byte) bool {
	in := &f.get.asks
	f.evidence.Proof, f.evidence.Version = n.Variants.Proof(in.Service, p, body), p.Version
	return n.Variants.Answered(n.Clock.Now(), in, f.get.variant, f.evidence)
}

// landedVariant takes the bytes of a variant: those for whom they will do get them, others go on for their own.
func (n *Node) landedVariant(f *forward, p hostproto.Proofs, body []byte) routing.Outcome {
	fits := !f.get.variant.Declared || n.provenVariant(f, p, body)
	n.landed(f, body)
	if fits || f.get.over {
		return routing.Succeeded
	}
	n.turnVariant(f.get)
	return routing.ArrivedLate // which holds nothing against the host
}

// turnedVariant has one that waited for an answer that will not do for it go on for its own variant.
func (n *Node) turnedVariant(now float64, g *get, of *forward) bool {
	if !g.variant.Declared {
		return false
	}
	if n.Variants.Fits(now, &g.asks, g.variant, of.evidence) {
		return false
	}
	n.turnVariant(g)
	if g.waiter = nil; !n.follows(now, g) {
		n.leads = append(n.leads, g)
	}
	return true
}

// turnVariant has a GET be sent for its own variant from now on.
func (n *Node) turnVariant(g *get) {
	n.Options.Counts.Turned.Add(1)
	g.variant.Asked, g.variant.Beside, g.variant.Presumed = g.variant.Own, 0, false
	in := g.asked()
	g.asks.Object = n.Variants.Own(&in, g.variant)
}

// noticeVariants takes an event for all variants, after the module has: what it sent before is told apart by the event's number, which shards
// have in common.
func (n *Node) noticeVariants(now float64, e changelog.Event) {
	if e.Order == 0 { // no other shards
		e.Order = n.heard + 1
	}
	if p := e.Purge; p != nil {
		for _, name := range n.Variants.Purged(p.Time, e.Order, p.Object, p.Group) {
			n.purged(now, name, p.Group, n.purgedAt(now, p))
		}
	}
	n.heard = max(n.heard, e.Order)
}

// routeVariant names the variant that a proxy is to ask for, and lets no copy through that will not do for its client.
func (n *Node) routeVariant(f *forward, r *call.Route) {
	g := f.get
	if !g.variant.Declared {
		return
	}
	_, r.Variant = n.Variants.Field(g.asks.Service, g.variant.Asked)
	r.Untagged = !g.variant.Tagged
	r.Good = func(p hostproto.Proofs) bool {
		fits := n.provenVariant(f, p, nil)
		if !fits {
			n.turnVariant(g)
		}
		return fits
	}
}
