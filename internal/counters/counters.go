// Package counters counts what a dispatcher takes in, sends and answers.
package counters

import (
	"reflect"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Counters are the sums since the start.
type Counters struct {
	GETs            atomic.Int64 `name:"GETs"`            // taken in
	Unusable        atomic.Int64 `name:"Unusable"`        // errored at the door
	Repeated        atomic.Int64 `name:"Repeated"`        // of Unusable: its id is that of a GET that may have run and must not run again
	GivenUp         atomic.Int64 `name:"GivenUp"`         // given up by clients
	KeyMissing      atomic.Int64 `name:"KeyMissing"`      // of GETs: no idempotency key, though hosts know repeats of their class by one
	KeylessRepeats  atomic.Int64 `name:"KeylessRepeats"`  // attempts of KeyMissing after one that may have run; none are allowed
	Returned        atomic.Int64 `name:"Returned"`        // answered
	Unchanged       atomic.Int64 `name:"Unchanged"`       // answered; of Returned, had no body
	Shed            atomic.Int64 `name:"Shed"`            // answered
	Errored         atomic.Int64 `name:"Errored"`         // answered
	OverFleet       atomic.Int64 `name:"OverFleet"`       // of GateShed: the fleet's budget of the tenant
	NotNamed        atomic.Int64 `name:"NotNamed"`        // of GateErrored: no caller
	Denied          atomic.Int64 `name:"Denied"`          // of GateErrored: no right
	OverShare       atomic.Int64 `name:"OverShare"`       // of GateShed: share used up
	OverLevel       atomic.Int64 `name:"OverLevel"`       // of GateShed: over the fair level
	Unchecked       atomic.Int64 `name:"Unchecked"`       // of GateShed: no signature check left
	SignatureChecks atomic.Int64 `name:"SignatureChecks"` // of tokens
	GateShed        atomic.Int64 `name:"GateShed"`        // answered by the gate, which asks who is calling
	GateErrored     atomic.Int64 `name:"GateErrored"`     // answered by the gate, too
	Unsent          atomic.Int64 `name:"Unsent"`          // of Shed and Errored, after half their time with nothing written whole

	Forwards           atomic.Int64 `name:"Forwards"`           // sent
	Stopped            atomic.Int64 `name:"Stopped"`            // given up
	Hit                atomic.Int64 `name:"Hit"`                // ended by an answer
	Valid              atomic.Int64 `name:"Valid"`              // ended by an answer
	None               atomic.Int64 `name:"None"`               // ended by an answer
	Full               atomic.Int64 `name:"Full"`               // ended by an answer
	Fault              atomic.Int64 `name:"Fault"`              // ended by an answer
	OldCopy            atomic.Int64 `name:"OldCopy"`            // ended by an answer that a proxy told of and whose copy the client must not get
	Late               atomic.Int64 `name:"Late"`               // ended by an answer
	Unnamed            atomic.Int64 `name:"Unnamed"`            // ended by VALID for a copy that the GET did not bring
	Unreached          atomic.Int64 `name:"Unreached"`          // broken off: not written
	PartlyWritten      atomic.Int64 `name:"PartlyWritten"`      // broken off: written in part
	Unanswered         atomic.Int64 `name:"Unanswered"`         // broken off: written whole
	AnswerCut          atomic.Int64 `name:"AnswerCut"`          // broken off within the answer
	Expired            atomic.Int64 `name:"Expired"`            // overdue
	NoPlace            atomic.Int64 `name:"NoPlace"`            // no connection left
	MovedSlots         atomic.Int64 `name:"MovedSlots"`         // of all shards: slots moved
	HotItems           atomic.Int64 `name:"HotItems"`           // of all shards: items spread now
	Recalled           atomic.Int64 `name:"Recalled"`           // forwards taken back for news before anything of them went out
	Behind             atomic.Int64 `name:"Behind"`             // of shards: forwards kept back for news
	Overdue            atomic.Int64 `name:"Overdue"`            // of shards: GETs answered in place of a shard
	Rebuilt            atomic.Int64 `name:"Rebuilt"`            // of shards: modules made anew
	Lists              atomic.Int64 `name:"Lists"`              // events of the change log
	Purges             atomic.Int64 `name:"Purges"`             // events of the change log
	PurgesLearned      atomic.Int64 `name:"PurgesLearned"`      // told by other dispatchers
	SlowStarts         atomic.Int64 `name:"SlowStarts"`         // slow starts of hosts that began
	SlowStartEjections atomic.Int64 `name:"SlowStartEjections"` // of SlowStarts: hosts that were ejected before their ramp was over
	SlowStartLosses    atomic.Int64 `name:"SlowStartLosses"`    // losses of hosts in slow start, at most one a second of each
	ChangeLogPauses    atomic.Int64 `name:"ChangeLogPauses"`    // pauses of the change log after which it is taken to be late
	ConnectionWaits    atomic.Int64 `name:"ConnectionWaits"`    // GETs that waited for the first connection to a host
	ClientConnections  atomic.Int64 `name:"ClientConnections"`  // opened
	HostConnections    atomic.Int64 `name:"HostConnections"`    // opened
	Handshakes         atomic.Int64 `name:"Handshakes"`         // of clients, that failed
	HostGaveWay        atomic.Int64 `name:"HostGaveWay"`        // idle connections to hosts that were closed for other hosts
	DialsHeld          atomic.Int64 `name:"DialsHeld"`          // connections to hosts that were not begun as too many had been
	Joined             atomic.Int64 `name:"Joined"`             // GETs that waited for another's forward
	TookLead           atomic.Int64 `name:"TookLead"`           // of Joined: went on in the lead
	Rewritten          atomic.Int64 `name:"Rewritten"`          // GETs sent for another variant than their own
	Turned             atomic.Int64 `name:"Turned"`             // of Rewritten: whose answer would not do, and that went on for their own
	ProxyCalls         atomic.Int64 `name:"ProxyCalls"`         // proxies' requests
	ProxyPassed        atomic.Int64 `name:"ProxyPassed"`        // of ProxyCalls: none of ours
	ProxyAgain         atomic.Int64 `name:"ProxyAgain"`         // of ProxyCalls: further calls
	ProxyUnknown       atomic.Int64 `name:"ProxyUnknown"`       // of ProxyCalls: further calls that were refused, as they continue no GET
	ProxyLate          atomic.Int64 `name:"ProxyLate"`          // not decided in their time
	ProxyRefused       atomic.Int64 `name:"ProxyRefused"`       // proxies' streams that there was no memory for, or that gave way to others
	ProxyHeld          atomic.Int64 `name:"ProxyHeld"`          // whose hold was over
	GaveWay            atomic.Int64 `name:"GaveWay"`            // client connections that were closed for others
	ClientBytesIn      atomic.Int64 `name:"ClientBytesIn"`
	ClientBytesOut     atomic.Int64 `name:"ClientBytesOut"`
	HostBytesIn        atomic.Int64 `name:"HostBytesIn"`
}

// Sum is several counters in one.
func Sum(all ...*Counters) *Counters {
	sum := &Counters{}
	to := reflect.ValueOf(sum).Elem()
	for _, c := range all {
		from := reflect.ValueOf(c).Elem()
		for i := range to.NumField() {
			to.Field(i).Addr().Interface().(*atomic.Int64).Add(from.Field(i).Addr().Interface().(*atomic.Int64).Load())
		}
	}
	return sum
}

// name is what a counter is called outside, whatever its field is called.
func name(f reflect.StructField) string { return f.Tag.Get("name") }

// Each gives all of them by name.
func (c *Counters) Each() map[string]int64 {
	all, values := map[string]int64{}, reflect.ValueOf(c).Elem()
	for i := range values.NumField() {
		all[name(values.Type().Field(i))] = values.Field(i).Addr().Interface().(*atomic.Int64).Load()
	}
	return all
}

// Log writes all of them as one line.
func (c *Counters) Log(log zerolog.Logger) {
	line, values := log.Info(), reflect.ValueOf(c).Elem()
	for i := range values.NumField() {
		line.Int64(name(values.Type().Field(i)), values.Field(i).Addr().Interface().(*atomic.Int64).Load())
	}
	line.Msg("counters")
}
