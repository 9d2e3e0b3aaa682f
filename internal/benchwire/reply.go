package benchwire

import (
	"encoding/json"
	"fmt"
	"strconv"

	"elderwall/core/routing"
)

// Reply gathers the actions of one batch, as text.
type Reply struct{ buf []byte }

// Line is the whole reply with its line end; the reply is empty again afterwards.
func (r *Reply) Line() []byte {
	line := append([]byte(`{"actions":[`), r.buf...)
	r.buf = r.buf[:0]
	return append(line, "]}\n"...)
}

// GiveIn reports that the decision code broke.
func (r *Reply) GiveIn(who int64, text string) { r.add("giveIn", who, quoted(text)) }

func (r *Reply) add(name string, who int64, values ...string) {
	if len(r.buf) > 0 {
		r.buf = append(r.buf, ',')
	}
	r.buf = append(append(append(r.buf, `["`...), name...), `",`...)
	r.buf = strconv.AppendInt(r.buf, who, 10)
	for _, v := range values {
		r.buf = append(append(r.buf, ','), v...)
	}
	r.buf = append(r.buf, ']')
}

// Wire writes the answers of one instance into the reply.
type Wire struct {
	*Reply
	Clock
	Who int64
}

var _ routing.Actions = Wire{}

// Forward writes a forward.
func (w Wire) Forward(f routing.Attempt) {
	bits := 0
	for i, set := range []bool{f.Coalesce, f.CachedOnly, false, f.Revalidate} {
		if set {
			bits |= 1 << i
		}
	}
	// An age is rounded down: a copy a microsecond too old is too old.
	w.add("serveOrFill", w.Who, id(f.RequestID), id(f.Host), "0", id(f.Source), strconv.Itoa(f.CachePriority),
		strconv.FormatInt(int64(f.MaxAge*1e6), 10), strconv.Itoa(bits))
}

// Cancel writes the end of the wait for a forward.
func (w Wire) Cancel(get uint32, forward int) {
	w.add("abandon", w.Who, id(get), strconv.Itoa(forward))
}

// Shed writes a shed reply, with a time to come back unless that is 0.
func (w Wire) Shed(get uint32, comeBack float64) {
	w.add("notNow", w.Who, id(get), strconv.FormatInt(micros(comeBack), 10))
}

// Fail writes an error reply.
func (w Wire) Fail(get uint32) { w.add("respondError", w.Who, id(get)) }

// Schedule asks for a timer.
func (w Wire) Schedule(delay float64, cookie string) {
	w.add("schedule", w.Who, strconv.FormatInt(micros(delay), 10), quoted(cookie))
}

// PollEndpoints asks for the changes of the list of hosts.
func (w Wire) PollEndpoints() { w.add("streamChanges", w.Who, "true") }

// OpenConnection is never called, as the wire tells no connection times.
func (w Wire) OpenConnection(uint32) bool { return false }

// HostEjected writes a line for the report.
func (w Wire) HostEjected(host uint32) { w.record(fmt.Sprintf("host %d ejected", host)) }

// HostRecovered writes a line for the report.
func (w Wire) HostRecovered(host uint32) { w.record(fmt.Sprintf("host %d recovered", host)) }

// ReportSlowStart is passed over: the simulator has a record of its own of what hosts are sent.
func (w Wire) ReportSlowStart(routing.SlowStartReport) {}

func (w Wire) record(text string) { w.add("record", w.Who, quoted(text)) }

func id(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

func quoted(text string) string {
	b, _ := json.Marshal(text) // a string always marshals
	return string(b)
}
