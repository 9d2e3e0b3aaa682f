package routing

import "fmt"

const cacheA, cacheB, cacheC, parentA, parentB, origin = 11, 12, 13, 21, 22, 31

// recorder is an Actions that keeps what went out.
type recorder struct {
	forwards         []Attempt
	shed, errored    []uint32
	retryAfter       float64
	cancelled, calls []string
}

func (r *recorder) Forward(f Attempt) { r.forwards = append(r.forwards, f) }

func (r *recorder) Cancel(get uint32, forward int) {
	r.cancelled = append(r.cancelled, fmt.Sprint(get, "/", forward))
}

func (r *recorder) Shed(get uint32, retryAfter float64) {
	r.shed, r.retryAfter = append(r.shed, get), retryAfter
}

func (r *recorder) Fail(get uint32) { r.errored = append(r.errored, get) }

func (r *recorder) Schedule(float64, string) {}

func (r *recorder) PollEndpoints() { r.calls = append(r.calls, "subscribe") }

func (r *recorder) HostEjected(host uint32) { r.calls = append(r.calls, ejected(host)) }

func (r *recorder) HostRecovered(host uint32) { r.calls = append(r.calls, recovered(host)) }

func (r *recorder) last() Attempt { return r.forwards[len(r.forwards)-1] }

func settings() Settings {
	return Settings{
		Dispatchers: 2, DispatchersByZone: []int{1}, ParentKind: 1, OriginKind: 2, NoteDetail: FillNotes,
		Services: []DeliveryService{{
			Objective: 0.5, Stretch: 1, ViewerTimeout: 5, PriorityWeight: 1,
			Idempotency: Idempotent, DedupScope: AllHosts, DedupWindow: 2,
		}}, MaxAttempts: 6, CanCancel: true, Hedging: true, PurgeGrace: 6,
		SlowStartInitial: 0.2, SlowStartRamp: 10, OverloadMultiple: 2, OverloadWindow: 1, ParentSlowStartInitial: 0.1, ParentSlowStartRamp: 20, ParentOverloadMultiple: 2,
	}
}

func entry(id uint32, kind int, phase Phase) Endpoint {
	return Endpoint{ID: id, Kind: kind, Cell: int(id), Phase: phase, Weight: 1}
}

// ask hands in a GET and settles the moment.
func ask(d *Router, now float64, id uint32, object string) {
	d.HandleRequest(now, Request{ID: id, Object: object, Deadline: now + 5})
	d.RunRetries(now)
}

func answer(d *Router, now float64, id uint32, forward int, outcome Outcome, note Note) {
	d.HandleResult(now, AttemptResult{RequestID: id, Attempt: forward, Outcome: outcome, Note: note, Elapsed: 0.1, Final: outcome == Succeeded})
	d.RunRetries(now)
}

// tickTo plays the periodic timer from one instant to another.
func tickTo(d *Router, from, to float64) {
	for now := from; now <= to; now += 0.01 {
		tickAt(d, now)
	}
}

const noAnswer = Outcome(-1)

func hit(uint32, Attempt) (Outcome, Note) { return Succeeded, CacheHit }

// play asks a GET at each step and answers all forwards as told; those with no answer are revoked in the end.
func play(d *Router, r *recorder, from, to, step float64, first uint32, reply func(uint32, Attempt) (Outcome, Note)) {
	done, number, open := len(r.forwards), map[uint32]int{}, []AttemptResult(nil)
	for i := uint32(0); from+float64(i)*step < to; i++ {
		now := from + float64(i)*step
		ask(d, now, first+i, fmt.Sprint("o", i%60))
		for ; done < len(r.forwards); done++ {
			f := r.forwards[done]
			if outcome, note := reply(i, f); outcome != noAnswer {
				answer(d, now+0.01, f.RequestID, number[f.RequestID], outcome, note)
			} else {
				open = append(open, AttemptResult{RequestID: f.RequestID, Attempt: number[f.RequestID], Outcome: Canceled})
			}
			number[f.RequestID]++
		}
		tickTo(d, now+0.01, now+step-0.01)
	}
	for _, a := range open {
		d.HandleResult(to, a)
	}
}

// ejected is what a recorder keeps of a host that was ejected.
func ejected(host uint32) string { return fmt.Sprintf("host %d ejected", host) }

// newCluster starts a dispatcher that knows three caches, two parents and the origin.
func newCluster(change func(*Settings)) (*Router, *recorder) {
	s := settings()
	if change != nil {
		change(&s)
	}
	r := &recorder{}
	d := New(s, 0, r)
	d.UpdateEndpoints(0, ListCached, []Endpoint{
		entry(cacheA, 0, Ready), entry(cacheB, 0, Ready), entry(cacheC, 0, Ready),
		entry(parentA, 1, Ready), entry(parentB, 1, Ready), entry(origin, 2, Ready),
	})
	return d, r
}

// recovered is what a recorder keeps of a host that has recovered.
func recovered(host uint32) string { return fmt.Sprintf("host %d recovered", host) }

// tickAt has a timer come, and settles the moment.
func tickAt(d *Router, now float64) { d.HandleTimer(now); d.RunRetries(now) }
