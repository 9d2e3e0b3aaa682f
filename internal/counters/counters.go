// Package counters counts what a dispatcher takes in, sends and answers.
package counters

import (
	"reflect"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Counters are the sums since the start.
type Counters struct {
	GETs, Unusable, GivenUp            atomic.Int64 // taken in; errored at the door; given up by clients
	Returned, Unchanged, Shed, Errored atomic.Int64 // answered; Unchanged of Returned had no body
	OverFleet                          atomic.Int64 // of GateShed: the fleet's budget of the tenant
	NotNamed, Denied, OverShare        atomic.Int64 // of GateErrored: no caller, no right; of GateShed: share used up,
	OverLevel, Unchecked               atomic.Int64 // over the fair level, no signature check left
	SignatureChecks                    atomic.Int64 // of tokens
	GateShed, GateErrored              atomic.Int64 // answered by the gate, which asks who is calling
	Unsent                             atomic.Int64 // of Shed and Errored, after half their time with nothing written whole

	Forwards, Stopped                          atomic.Int64 // sent; given up
	Hit, Valid, None, Full, Fault, Late        atomic.Int64 // ended by an answer
	Unnamed                                    atomic.Int64 // ended by VALID for a copy that the GET did not bring
	Unreached, PartlyWritten, Unanswered       atomic.Int64 // broken off: not written, in part, whole
	AnswerCut, Expired, NoPlace                atomic.Int64 // broken off within the answer; overdue; no connection left
	MovedSlots, HotItems                       atomic.Int64 // of all shards: slots moved; items spread now
	Recalled                                   atomic.Int64 // forwards taken back for news before anything of them went out
	Behind, Overdue, Rebuilt                   atomic.Int64 // of shards: forwards kept back for news; GETs answered in place of a shard; modules made anew
	Lists, Purges                              atomic.Int64 // events of the change log
	PurgesLearned                              atomic.Int64 // told by other dispatchers
	ClientConnections, HostConnections         atomic.Int64 // opened
	Handshakes                                 atomic.Int64 // of clients, that failed
	HostGaveWay                                atomic.Int64 // idle connections to hosts that were closed for other hosts
	DialsHeld                                  atomic.Int64 // connections to hosts that were not begun as too many had been
	Joined, TookLead                           atomic.Int64 // GETs that waited for another's forward; of those: went on in the lead
	Rewritten, Turned                          atomic.Int64 // GETs sent for another variant than their own; whose answer would not do, and that went on for their own
	ProxyCalls, ProxyPassed, ProxyAgain        atomic.Int64 // proxies' requests; of those: none of ours; further calls
	ProxyLate, ProxyHeld                       atomic.Int64 // not decided in their time; whose hold was over
	GaveWay                                    atomic.Int64 // client connections that were closed for others
	ClientBytesIn, ClientBytesOut, HostBytesIn atomic.Int64
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

// Each gives all of them by name.
func (c *Counters) Each() map[string]int64 {
	all, values := map[string]int64{}, reflect.ValueOf(c).Elem()
	for i := range values.NumField() {
		all[values.Type().Field(i).Name] = values.Field(i).Addr().Interface().(*atomic.Int64).Load()
	}
	return all
}

// Log writes all of them as one line.
func (c *Counters) Log(log zerolog.Logger) {
	line, values := log.Info(), reflect.ValueOf(c).Elem()
	for i := range values.NumField() {
		line.Int64(values.Type().Field(i).Name, values.Field(i).Addr().Interface().(*atomic.Int64).Load())
	}
	line.Msg("counters")
}
