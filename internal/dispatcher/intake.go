package dispatcher

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"elderwall/core/admission"
	"elderwall/core/routing"
	"elderwall/internal/call"
	"elderwall/internal/hostproto"
)

// Process takes a request of any front. It passes admission, where there is one, and goes to the module.
func (d *Dispatcher) Process(c call.Call, in call.GET) { d.ProcessAs(c, in, 0) }

// ProcessAs is the same for a shard, with the key by which it was chosen. It returns false where the shard has been closed:
// another one must process the request.
func (d *Dispatcher) ProcessAs(c call.Call, in call.GET, key uint64) (accepted bool) {
	d.Options.Counts.GETs.Add(1)
	g, err := d.parseRequest(in)
	if err != nil {
		d.Options.Counts.Unusable.Add(1)
		d.Options.Log.Warn().Err(err).Msg("GET can't be used")
		c.Fail("")
		return true
	}
	_, g.ConnectionsUnknown = c.(call.Router)
	in = d.keyOf(in, g.Service)
	if in.IdempotencyKey == "" {
		g = g.WithoutKey()
	}
	ticket, passed := d.admit(c, in, g.Service)
	if !passed {
		return true
	}
	if d.Shard != nil {
		return d.enqueueRequest(c, in, g, ticket, key)
	}
	d.callRouter(func(now float64) { d.accept(now, c, in, g, ticket) })
	return true
}

// admit answers a request that admission does not pass on.
func (d *Dispatcher) admit(c call.Call, in call.GET, service int) (ticket admission.Ticket, passed bool) {
	if d.Admission == nil {
		return ticket, true
	}
	ticket, refusal, wait := d.Admission.Admit(in, service)
	switch {
	case refusal == admission.Admitted:
		return ticket, true
	case refusal.Shed():
		d.Options.Counts.GateShed.Add(1)
		c.Refuse(int64(math.Ceil(wait * 1e3)))
	default:
		d.Options.Counts.GateErrored.Add(1)
		c.Fail(refusal.String())
	}
	return ticket, false
}

// accept hands a request to the module, unless it can't be held.
func (d *Dispatcher) accept(now float64, c call.Call, in call.GET, g routing.Request, ticket admission.Ticket) {
	if !c.Open() { // it waited in the queue, and word of its client's end came before it or is behind it
		d.Options.Counts.GivenUp.Add(1)
		d.endAdmission(ticket, false)
		return
	}
	// a STOP of one that is open, or an answer, would pass for that of the other
	if !d.claimID(in.ID) {
		d.Options.Counts.Unusable.Add(1)
		d.endAdmission(ticket, false)
		c.Fail("")
		return
	}
	if !d.reserve(len(in.Body)) {
		d.ids(in.ID).release(in.ID)
		d.Options.Counts.Shed.Add(1)
		d.endAdmission(ticket, true)
		c.Refuse(0)
		return
	}
	for d.lastID++; d.requests[d.lastID] != nil; d.lastID++ {
	}
	g.ID, g.Deadline = d.lastID, now+g.Deadline
	hostRequest := hostproto.Request{
		ID: in.ID, Service: in.Service, Object: in.Object, Part: in.PartText, Tag: in.Tag, Body: in.Body,
		IdempotencyKey: in.IdempotencyKey,
	}
	held := &request{id: g.ID, call: c, ticket: ticket, hostRequest: hostRequest, receivedAt: now, deadline: g.Deadline, routed: g}
	d.requests[held.id], d.byCall[c] = held, held
	d.observeKey(held)
	if d.Variants != nil {
		d.chooseVariant(now, held, in.Device)
		g = held.routed
	}
	held.expiry = d.expiries.Add(held.deadline, held)
	if !d.joinLeader(now, held) {
		d.router.HandleRequest(now, g)
	}
}

var errRequest = errors.New("unusable GET")

// parseRequest makes a request of the module's of what a front has read; its viewer timeout is still that
// from now on.
func (d *Dispatcher) parseRequest(in call.GET) (routing.Request, error) {
	g := routing.Request{
		Service: slices.Index(d.Settings.Services, in.Service), Object: in.Object, Group: in.Group,
		Part: in.Part, Deadline: in.Budget,
	}
	switch {
	case in.Err != nil:
		return g, in.Err
	case g.Service < 0:
		return g, fmt.Errorf("%w: method %.32q", errRequest, in.Service)
	case in.Budget > math.Ceil(d.Settings.Settings.Services[g.Service].ViewerTimeout*1e3)/1e3:
		return g, fmt.Errorf("%w: budget of %g s", errRequest, in.Budget)
	}
	return g, nil
}
