package dispatcher

import (
	"elderwall/core/admission"
	"elderwall/core/routing"
	"elderwall/internal/call"
	"elderwall/internal/hostproto"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Process takes a GET of any front. It passes the gate, where there is one, and goes to the module.
func (n *Node) Process(c call.Call, in call.GET) { n.ProcessAs(c, in, 0) }

// ProcessAs is the same for a shard, with the key by which it was chosen.
func (n *Node) ProcessAs(c call.Call, in call.GET, key uint64) {
	n.Options.Counts.GETs.Add(1)
	g, err := n.read(in)
	if err != nil {
		n.Options.Counts.Unusable.Add(1)
		n.Options.Log.Warn().Err(err).Msg("GET can't be used")
		c.Fail("")
		return
	}
	ticket, passed := n.gated(c, in, g.Service)
	if !passed {
		return
	}
	if n.Shard != nil {
		n.enterShard(c, in, g, ticket, key)
		return
	}
	n.call(func(now float64) { n.enter(now, c, in, g, ticket) })
}

// gated answers a GET that the gate does not pass on.
func (n *Node) gated(c call.Call, in call.GET, service int) (ticket admission.Ticket, passed bool) {
	if n.Gate == nil {
		return ticket, true
	}
	ticket, refusal, wait := n.Gate.Admit(in, service)
	switch {
	case refusal == admission.Passed:
		return ticket, true
	case refusal.Shed():
		n.Options.Counts.GateShed.Add(1)
		c.Refuse(int64(math.Ceil(wait * 1e3)))
	default:
		n.Options.Counts.GateErrored.Add(1)
		c.Fail(refusal.String())
	}
	return ticket, false
}

// enter hands a GET to the module, unless it can't be held.
func (n *Node) enter(now float64, c call.Call, in call.GET, g routing.Request, ticket admission.Ticket) {
	if !c.Open() { // it waited in line, and word of its client's end came before it or is behind it
		n.Options.Counts.GivenUp.Add(1)
		n.settleGate(ticket, false)
		return
	}
	if n.byID[in.ID] != nil || !n.openID(in.ID) { // a STOP of one, or an answer, would pass for that of the other
		n.Options.Counts.Unusable.Add(1)
		n.settleGate(ticket, false)
		c.Fail("")
		return
	}
	if !n.place(len(in.Body)) {
		n.closeID(in.ID)
		n.Options.Counts.Shed.Add(1)
		n.settleGate(ticket, true)
		c.Refuse(0)
		return
	}
	for n.lastID++; n.gets[n.lastID] != nil; n.lastID++ {
	}
	g.ID, g.Deadline = n.lastID, now+g.Deadline
	request := hostproto.Request{
		ID: in.ID, Service: in.Service, Object: in.Object, Part: in.PartText, Tag: in.Tag, Body: in.Body,
		IdempotencyKey: in.IdempotencyKey,
	}
	held := &get{id: g.ID, call: c, ticket: ticket, request: request, from: now, until: g.Deadline, asks: g}
	n.gets[held.id], n.byCall[c], n.byID[in.ID] = held, held, held
	if n.Variants != nil {
		n.enterVariant(now, held, in.Device)
		g = held.asks
	}
	held.expiry = n.expiries.Add(held.until, held)
	if !n.follows(now, held) {
		n.module.HandleRequest(now, g)
	}
}

var errGET = errors.New("unusable GET")

// read makes a GET of the module's of what a front has read; its viewer timeout is still that from now on.
func (n *Node) read(in call.GET) (routing.Request, error) {
	g := routing.Request{
		Service: slices.Index(n.Settings.Services, in.Service), Object: in.Object, Group: in.Group,
		Part: in.Part, Deadline: in.Budget,
	}
	switch {
	case in.Err != nil:
		return g, in.Err
	case g.Service < 0:
		return g, fmt.Errorf("%w: method %.32q", errGET, in.Service)
	case in.Budget > math.Ceil(n.Settings.Settings.Services[g.Service].ViewerTimeout*1e3)/1e3:
		return g, fmt.Errorf("%w: budget of %g s", errGET, in.Budget)
	}
	return g, nil
}
