package dispatcher

import (
	"elderwall/core/routing"
	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/hostproto"
)

// Variants is the stage behind admission that names the variant of an object that a request is sent for. It
// has a lock of its own and answers at once; several shards share it.
type Variants interface {
	// Key names the variant that stands for a request's own, and the object by that; ok false for one that
	// goes as it came.
	Key(now float64, in *routing.Request, device string) (v Variant, object string, ok bool)
	// Own is the name of an object by a request's own variant.
	Own(in *routing.Request, v Variant) (object string)
	// Field is what a request to a host bears for a class, and the class's name.
	Field(service int, class int16) (pair, name string)
	// Proof is what reports whether two contents are the same; 0 for nothing. The body is nil where no bytes
	// pass here.
	Proof(service int, p hostproto.Proofs, body []byte) uint64
	// Answered takes what an answer tells, and gives whether it fits the request that it was sent for. Here
	// and in Fits the request's object may be named by any variant: the variant's number counts.
	Answered(now float64, in *routing.Request, v Variant, e Evidence) (fits bool)
	// Fits reports whether an answer that was told will do for another request, by all that is known by now.
	Fits(now float64, in *routing.Request, v Variant, e Evidence) bool
	// Purged takes a purge by its time (Unix ms) and the number under which it was heard; an object of "" is
	// a whole group. It gives the object's names by its variants besides its own. Each shard tells of it.
	Purged(time int64, order uint64, object string, group int) (names []string)
}

// Variant is which of an object's a request is to get. The zero value is for what goes as it came.
type Variant struct {
	Number     uint64 // of the object, as the stage knows it
	Own, Asked int16  // classes
	Beside     int16  // place in the order of hosts that it is sent by, 0 for the class's own
	Declared   bool
	Presumed   bool   // that both are the same
	Tagged     bool   // a tag tells contents apart whatever the class
	Told       uint64 // newest purge that the stage had been told of when it gave the key
}

// Evidence is what an answer to an attempt tells of a variant's content.
type Evidence struct {
	Asked   int16 // class
	Beside  int16 // place in the order of hosts
	Host    uint32
	Known   uint64 // number of the newest event that its sender had heard when the attempt was sent
	Told    uint64 // newest purge that the stage had been told of by then, or before
	Proof   uint64 // 0 for none
	Version uint64 // 0 for none
}

// chooseVariant finds out for which variant a request is sent; those with a body, or that must not be
// executed twice, go as they came. Whoever holds a copy may have it from another class: it is told of to a
// host only where tags tell contents apart whatever the class.
func (d *Dispatcher) chooseVariant(now float64, q *request, device string) {
	if len(q.hostRequest.Body) > 0 || !d.repeatable(q) {
		return
	}
	v, object, ok := d.Variants.Key(now, &q.routed, device)
	if !ok {
		return
	}
	q.variant, q.routed.Object = v, object
	if !v.Tagged {
		q.hostRequest.Tag = ""
	}
	if v.Own != v.Asked {
		d.Options.Counts.Rewritten.Add(1)
	}
}

// clientRequest is a request as its client sent it.
func (q *request) clientRequest() routing.Request {
	in := q.routed
	in.Object = q.hostRequest.Object
	return in
}

// sendVariant books what an attempt is sent for, and gives what its request bears for that.
func (d *Dispatcher) sendVariant(a *attempt, host uint32) (pair string) {
	v := a.request.variant
	if !v.Declared {
		return ""
	}
	a.evidence = Evidence{Asked: v.Asked, Beside: v.Beside, Host: host, Known: d.lastEvent, Told: v.Told}
	pair, _ = d.Variants.Field(a.request.routed.Service, v.Asked)
	return pair
}

// recordEvidence has an answer leave its evidence, and reports whether it will do for the client that it was
// sent for.
func (d *Dispatcher) recordEvidence(a *attempt, p hostproto.Proofs, body []byte) bool {
	in := &a.request.routed
	a.evidence.Proof, a.evidence.Version = d.Variants.Proof(in.Service, p, body), p.Version
	return d.Variants.Answered(d.Clock.Now(), in, a.request.variant, a.evidence)
}

// shareVariantAnswer takes the bytes of a variant: those for whom they will do get them, others go on for
// their own.
func (d *Dispatcher) shareVariantAnswer(a *attempt, p hostproto.Proofs, body []byte) routing.Outcome {
	fits := !a.request.variant.Declared || d.recordEvidence(a, p, body)
	d.shareAnswer(a, body)
	if fits || a.request.finished {
		return routing.Succeeded
	}
	d.useOwnVariant(a.request)
	return routing.ArrivedLate // which holds nothing against the host
}

// redirectFollower has one that waited for an answer that will not do for it go on for its own variant.
func (d *Dispatcher) redirectFollower(now float64, q *request, of *attempt) bool {
	if !q.variant.Declared {
		return false
	}
	if d.Variants.Fits(now, &q.routed, q.variant, of.evidence) {
		return false
	}
	d.useOwnVariant(q)
	if q.waiter = nil; !d.joinLeader(now, q) {
		d.newLeaders = append(d.newLeaders, q)
	}
	return true
}

// useOwnVariant has a request be sent for its own variant from now on.
func (d *Dispatcher) useOwnVariant(q *request) {
	d.Options.Counts.Turned.Add(1)
	q.variant.Asked, q.variant.Beside, q.variant.Presumed = q.variant.Own, 0, false
	in := q.clientRequest()
	q.routed.Object = d.Variants.Own(&in, q.variant)
}

// handleVariantEvent takes an event for all variants, after the module has: what it sent before is told apart
// by the event's number, which shards have in common.
func (d *Dispatcher) handleVariantEvent(now float64, e changelog.Event) {
	if e.Order == 0 { // no other shards
		e.Order = d.lastEvent + 1
	}
	if p := e.Purge; p != nil {
		for _, name := range d.Variants.Purged(p.Time, e.Order, p.Object, p.Group) {
			d.applyPurge(now, name, p.Group, d.purgeTime(now, p))
		}
	}
	d.lastEvent = max(d.lastEvent, e.Order)
}

// routeVariantByProxy names the variant that a proxy is to ask for, and lets no copy through that will not do
// for its client.
func (d *Dispatcher) routeVariantByProxy(a *attempt, r *call.Route) {
	q := a.request
	if !q.variant.Declared {
		return
	}
	_, r.Variant = d.Variants.Field(q.routed.Service, q.variant.Asked)
	r.Untagged = !q.variant.Tagged
	r.Good = func(p hostproto.Proofs) bool {
		fits := d.recordEvidence(a, p, nil)
		if !fits {
			d.useOwnVariant(q)
		}
		return fits
	}
}
