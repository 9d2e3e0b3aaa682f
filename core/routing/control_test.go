package routing

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const cacheA, cacheB, cacheC, parentA, parentB, origin = 11, 12, 13, 21, 22, 31

// recorder is a Wire that keeps what went out.
type recorder struct {
	forwards         []Attempt
	shed, errored    []uint32
	comeBack         float64
	cancelled, calls []string
}

func (r *recorder) Forward(f Attempt) { r.forwards = append(r.forwards, f) }
func (r *recorder) Cancel(get uint32, forward int) {
	r.cancelled = append(r.cancelled, fmt.Sprint(get, "/", forward))
}

func (r *recorder) Shed(get uint32, comeBack float64) {
	r.shed, r.comeBack = append(r.shed, get), comeBack
}
func (r *recorder) Fail(get uint32)          { r.errored = append(r.errored, get) }
func (r *recorder) Schedule(float64, string) {}
func (r *recorder) PollEndpoints()           { r.calls = append(r.calls, "subscribe") }
func (r *recorder) Log(text string)          { r.calls = append(r.calls, text) }
func (r *recorder) last() Attempt            { return r.forwards[len(r.forwards)-1] }

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

// fleet starts a dispatcher that knows three caches, two parents and the origin.
func fleet(change func(*Settings)) (*Router, *recorder) {
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

// ask hands in a GET and settles the moment.
func ask(d *Router, now float64, id uint32, object string) {
	d.HandleRequest(now, Request{ID: id, Object: object, Deadline: now + 5})
	d.RunRetries(now)
}

func answer(d *Router, now float64, id uint32, forward int, outcome Outcome, note Note) {
	d.HandleResult(now, AttemptResult{RequestID: id, Attempt: forward, Outcome: outcome, Note: note, Elapsed: 0.1, Final: outcome == Succeeded})
	d.RunRetries(now)
}

// turn has a timer come, and settles the moment.
func turn(d *Router, now float64) { d.HandleTimer(now); d.RunRetries(now) }

// tickTo plays the periodic timer from one instant to another.
func tickTo(d *Router, from, to float64) {
	for now := from; now <= to; now += 0.01 {
		turn(d, now)
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

func TestAfterAFailedForward(t *testing.T) {
	for _, tt := range []struct {
		name    string
		effect  Idempotency
		scope   DedupScope
		outcome Outcome
		after   float64
		want    string
	}{
		{"idempotent is sent on", Idempotent, AllHosts, HostFailed, 0.1, "forward"},
		{"non-idempotent that may have run is errored", NonIdempotent, AllHosts, HostFailed, 0.1, "error"},
		{"non-idempotent that was not taken is sent on", NonIdempotent, AllHosts, Unreachable, 0.1, "forward"},
		{"tokened is sent on within its window", IdempotencyKeyed, AllHosts, ConnectionLost, 0.1, "forward"},
		{"tokened past its window may be shed where all drop repeats", IdempotencyKeyed, AllHosts, ConnectionLost, 2.5, "shed"},
		{"tokened past its window is errored in a zone", IdempotencyKeyed, SameZone, ConnectionLost, 2.5, "error"},
		{"tokened stays in its zone", IdempotencyKeyed, SameZone, ConnectionLost, 0.1, "forward"},
		{"tokened alone in its cell is errored", IdempotencyKeyed, SameCell, ConnectionLost, 0.1, "error"},
		{"tokened that was not taken is free of its cell", IdempotencyKeyed, SameCell, Unreachable, 0.1, "forward"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := fleet(func(s *Settings) { s.Services[0].Idempotency, s.Services[0].DedupScope = tt.effect, tt.scope })
			ask(d, 1, 7, "a")
			require.Len(t, r.forwards, 1)
			answer(d, 1+tt.after, 7, 0, tt.outcome, NoNote)
			got := map[string]int{"forward": len(r.forwards) - 1, "error": len(r.errored), "shed": len(r.shed)}
			want := map[string]int{"forward": 0, "error": 0, "shed": 0}
			want[tt.want] = 1
			assert.Equal(t, want, got)
			if tt.want == "forward" {
				assert.NotEqual(t, r.forwards[0].Host, r.forwards[1].Host)
			}
		})
	}
}

func TestOneFinalAnswer(t *testing.T) {
	for _, tt := range []struct {
		name          string
		effect        Idempotency
		shed, errored int
	}{
		{"idempotent is shed at its viewer timeout", Idempotent, 1, 0},
		{"non-idempotent still out is errored at it", NonIdempotent, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := fleet(func(s *Settings) { s.Services[0].Idempotency = tt.effect })
			ask(d, 1, 7, "a")
			tickTo(d, 1, 5.93)
			assert.Empty(t, append(r.shed, r.errored...))
			tickTo(d, 5.94, 5.96) // a delayed acknowledgement before the client leaves
			assert.Equal(t, []int{tt.shed, tt.errored}, []int{len(r.shed), len(r.errored)})
			forwards := len(r.forwards)
			for i := range r.forwards {
				answer(d, 6.1, 7, i, Canceled, NoNote)
			}
			tickTo(d, 6.1, 8)
			assert.Len(t, r.forwards, forwards, "nothing is sent after the final answer")
			assert.Equal(t, 1, len(r.shed)+len(r.errored))
			assert.Empty(t, d.gets)
			assert.False(t, d.HandleResult(8, AttemptResult{RequestID: 7}), "the GET is forgotten")
		})
	}
}

func TestGivesUpAtOnceAndNamesATime(t *testing.T) {
	for honoured, want := range map[float64]float64{0: 0, 0.1: 0.1, 3: 0.125} {
		d, r := fleet(func(s *Settings) { s.MaxRetryAfter = honoured })
		d.UpdateEndpoints(1, ListChanges, []Endpoint{entry(cacheA, 0, Removed), entry(cacheB, 0, Draining), entry(cacheC, 0, Removed)})
		ask(d, 1, 7, "a")
		assert.Equal(t, []uint32{7}, r.shed)
		assert.Equal(t, want, r.comeBack)
		assert.Empty(t, r.forwards)
	}
}

func TestAGETWithLittleTimeKeepsMostOfIt(t *testing.T) {
	for budget, last := range map[float64]float64{5: 4.95, 0.2: 0.15, 0.1: 0.075} {
		d, r := fleet(nil)
		d.HandleRequest(1, Request{ID: 7, Object: "a", Deadline: 1 + budget})
		tickTo(d, 1, 1+last-0.001)
		assert.Empty(t, r.shed, "%v s", budget)
		tickTo(d, 1+last, 1+last+tick)
		assert.Equal(t, []uint32{7}, r.shed, "%v s", budget)
	}
}

func TestDrainsAreKept(t *testing.T) {
	for _, tt := range []struct {
		name    string
		form    ListKind
		entries []Endpoint
		gone    []uint32
	}{
		{"draining cache", ListChanges, []Endpoint{entry(cacheA, 0, Draining)}, []uint32{cacheA}},
		{"parent that is gone", ListChanges, []Endpoint{entry(parentA, 1, Removed)}, []uint32{parentA}},
		{
			"draining parents leave the origin", ListChanges,
			[]Endpoint{entry(parentA, 1, Draining), entry(parentB, 1, Draining)},
			[]uint32{parentA, parentB},
		},
		{
			"absent from a complete list", ListComplete,
			[]Endpoint{entry(cacheB, 0, Ready), entry(parentB, 1, Ready)},
			[]uint32{cacheA, cacheC, parentA, origin},
		},
		{"a failed call changes nothing", ListFailed, nil, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := fleet(nil)
			d.UpdateEndpoints(1, tt.form, tt.entries)
			used := map[uint32]bool{}
			for i := range uint32(40) {
				ask(d, 1, i, fmt.Sprint("object", i))
			}
			for _, f := range r.forwards {
				used[f.Host], used[f.Source] = true, true
			}
			require.Len(t, r.forwards, 40)
			for _, id := range tt.gone {
				assert.False(t, used[id], "host %d is used", id)
			}
			if tt.gone == nil {
				assert.Len(t, used, 5, "all caches and parents")
			}
		})
	}
}

func TestColdHostsGetTheirShare(t *testing.T) {
	for _, tt := range []struct {
		name       string
		kind       int
		id         uint32
		told       bool
		since      float64
		alike      int // dispatchers that are told of the start together
		least, max int // GETs of 0.1 s that all send in two windows; the rule bears a tenth more
	}{
		{"cold cache of told weight", 0, cacheA, true, 20, 1, 10, 40},
		{"cold cache of told weight, many dispatchers", 0, cacheA, true, 20, 40, 10, 40},
		{"cold cache of unknown weight", 0, cacheA, false, 20, 1, 1, 4},
		{"cold cache of unknown weight, many dispatchers", 0, cacheA, false, 20, 40, 40, 140},
		{"cold parent", 1, parentA, true, 20, 1, 5, 20},
		{"cold parent, many dispatchers", 1, parentA, true, 20, 40, 5, 20},
		{"cache that is warm by now", 0, cacheA, true, 5, 1, 30, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sent := 0
			for index := range tt.alike {
				d, r := fleet(func(s *Settings) {
					s.WeightsKnown, s.Index, s.Dispatchers = tt.told, index, tt.alike
					s.DispatchersByZone = []int{max(1, tt.alike*(1-tt.kind))}
				})
				play(d, r, 0, 20, 0.1, 0, hit) // the warm rate: ten GETs a second over three caches
				cold := entry(tt.id, tt.kind, Ready)
				cold.Weight, cold.OnlineSince, cold.OnlineSinceKnown = 4, tt.since, true
				d.UpdateEndpoints(20, ListChanges, []Endpoint{cold})
				before := len(r.forwards)
				for i := range uint32(200) {
					ask(d, 20+float64(i)/100, 1000+i, fmt.Sprint("o", i))
				}
				for _, f := range r.forwards[before:] {
					if f.Host == tt.id || f.Source == tt.id {
						sent++
					}
				}
			}
			assert.LessOrEqual(t, sent, tt.max)
			assert.GreaterOrEqual(t, sent, tt.least)
		})
	}
}

func TestPurges(t *testing.T) {
	for _, tt := range []struct {
		name, object string
		group        int
		at, want     float64
	}{
		{"of the object", "a", 0, 3, 1.5},
		{"of its group", "", 4, 3, 1.5},
		{"of another object", "b", 4, 3, 0},
		{"of another group", "", 5, 3, 0},
		{"long ago: no old copy is left", "a", 0, 9, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := fleet(nil)
			d.HandlePurge(2, tt.object, tt.group, 0.5)
			d.HandlePurge(2, tt.object, tt.group, 1) // an older one, told later, does not loosen
			tickTo(d, 2, tt.at)
			d.HandleRequest(tt.at, Request{ID: 7, Object: "a", Group: 4, Deadline: 20})
			assert.InDelta(t, tt.want, r.last().MaxAge, 1e-9)
		})
	}
}

func TestOrdinaryPath(t *testing.T) {
	d, r := fleet(nil)
	other, s := fleet(func(s *Settings) { s.Seed, s.Index = 9, 1 })
	play(d, r, 0, 30, 0.1, 0, hit)
	play(other, s, 0, 30, 0.1, 0, hit)
	assert.Equal(t, r.forwards, s.forwards, "all routers share the orders")
	sent := map[uint32]int{}
	for _, f := range r.forwards {
		sent[f.Host]++
		sent[f.Source]++
	}
	for id, n := range map[uint32]int{cacheA: 100, cacheB: 100, cacheC: 100, parentA: 150, parentB: 150} {
		assert.InDelta(t, n, sent[id], 45, "host %d", id)
	}
}

func TestCopiesFollowDemand(t *testing.T) {
	for _, tt := range []struct {
		name  string
		hot   int // of ten GETs, how many are for the one object
		after float64
		want  int
	}{
		{"a fifth of the bytes: one cache of three", 2, 0, 1},
		{"half of them: two", 5, 0, 2},
		{"nine tenths: three", 9, 0, 3},
		{"and one again once the window has passed", 9, 12, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, _ := fleet(nil)
			for i := range uint32(100) {
				object := fmt.Sprint("o", i)
				if int(i%10) < tt.hot {
					object = "hot"
				}
				ask(d, float64(i)/20, i, object)
				answer(d, float64(i)/20+0.01, i, 0, Succeeded, CacheHit)
			}
			ask(d, 5+tt.after, 1000, "hot")
			assert.Equal(t, tt.want, d.copies(d.gets[1000], 3))
		})
	}
}

func TestSources(t *testing.T) {
	for note, next := range map[Note]bool{SourceRejected: true, SourceFailed: true, FillsExhausted: false} {
		d, r := fleet(nil)
		ask(d, 1, 7, "a")
		answer(d, 1.1, 7, 0, Rejected, note)
		require.Len(t, r.forwards, 2)
		assert.Equal(t, next, r.forwards[0].Source != r.forwards[1].Source, "a source at fault is passed over")
		assert.Equal(t, next, r.forwards[0].Host == r.forwards[1].Host, "a cache at fault is passed over")
	}
}

func TestCrowdingDoesNotPassForSize(t *testing.T) {
	d, _ := fleet(nil)
	for i := range uint32(50) {
		ask(d, 1, i, "hot")
	}
	for i := range uint32(50) {
		d.HandleResult(5, AttemptResult{RequestID: i, Outcome: Succeeded, Note: CacheHit, Elapsed: 4, Final: true})
	}
	d.HandleRequest(5, Request{ID: 99, Object: "hot", Deadline: 10})
	assert.LessOrEqual(t, d.objective(d.gets[99]), 1.0)
}

func TestAFailingOriginIsLeftBehindItsParents(t *testing.T) {
	d, r := fleet(nil)
	for i := range uint32(4) { // parents speak, the origin behind them fails fast
		ask(d, 1, i, fmt.Sprint("o", i))
		for f := 0; len(r.shed) <= int(i) && f < 6; f++ {
			answer(d, 1.01, i, f, HostFailed, OriginFailed)
		}
	}
	require.True(t, d.origin.left)
	for _, parent := range d.parents {
		assert.False(t, parent.left)
	}
	ask(d, 1.2, 10, "p")
	assert.True(t, r.last().CachedOnly, "parents give what they hold")
	for i := range uint32(3) {
		ask(d, 10+float64(i), 20+i, fmt.Sprint("q", i))
		assert.False(t, r.last().CachedOnly, "a trial")
		ask(d, 10+float64(i), 30+i, fmt.Sprint("r", i))
		assert.True(t, r.last().CachedOnly, "one at a time")
		answer(d, 10.1+float64(i), 20+i, 0, Succeeded, FilledByOrigin)
	}
	assert.False(t, d.origin.left)
}

func TestALimitGrowsBackFastToWhatWasBorne(t *testing.T) {
	d, _ := fleet(nil)
	l := &allowance{most: 8, peak: 8, out: 8}
	for range 4 {
		d.move(l, 8, true)
	}
	low := l.most
	require.Less(t, low, 1.0)
	l.out = 8
	d.move(l, 8, false)
	assert.InDelta(t, 2*low, l.most, 1e-9, "doubled below what was borne")
	l.most, l.known = 6, 2
	d.move(l, 8, false)
	assert.InDelta(t, 6*growth, l.most, 1e-9, "grown with care above it")
}

func TestALimitFallsOnceEnoughCameLate(t *testing.T) {
	for late, falls := range map[float64]bool{1.5: false, 2.5: true} {
		d, _ := fleet(nil)
		l := &allowance{most: 8, start: 8, peak: 8, out: 8}
		for range 2 {
			d.move(l, late/2, true)
		}
		assert.Equal(t, falls, l.most < 8, "%v of a turn of 8 came late", late)
	}
	d, _ := fleet(nil)
	d.services[0].sending.add(1, 1)
	l := &allowance{most: 8, start: 8, peak: 8, out: 8}
	d.move(l, 2.5, true)
	assert.Equal(t, 8.0, l.most, "which is fewer GETs than tell anything")
}

func TestHostsAreLeftAndTrustedAgain(t *testing.T) {
	left := func(id uint32) string { return fmt.Sprintf("host %d left: it fails or is silent", id) }
	for _, tt := range []struct {
		name string
		fail func(uint32, Attempt) (Outcome, Note)
		host uint32
	}{
		{"a cache that errs", func(_ uint32, f Attempt) (Outcome, Note) {
			return map[bool]Outcome{true: HostFailed}[f.Host == cacheA], map[bool]Note{false: CacheHit}[f.Host == cacheA]
		}, cacheA},
		{"a cache that answers nothing", func(_ uint32, f Attempt) (Outcome, Note) {
			return map[bool]Outcome{true: noAnswer}[f.Host == cacheA], CacheHit
		}, cacheA},
		{"a parent that fails", func(_ uint32, f Attempt) (Outcome, Note) {
			bad := f.Source == parentA
			return map[bool]Outcome{true: HostFailed}[bad], map[bool]Note{true: SourceFailed, false: Filled}[bad]
		}, parentA},
		{"a parent that answers nothing, while hits and the other's fills come back", func(i uint32, f Attempt) (Outcome, Note) {
			return map[bool]Outcome{true: noAnswer}[i%4 > 0 && f.Source == parentA], map[bool]Note{true: CacheHit, false: Filled}[i%4 == 0]
		}, parentA},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := fleet(nil)
			play(d, r, 1, 6, 0.05, 0, tt.fail)
			require.Equal(t, []string{left(tt.host)}, r.calls[:1])
			assert.True(t, d.hosts[tt.host].left)
			assert.Empty(t, r.shed)
			assert.True(t, d.fills.room(1), "the way in stays open")
			for _, o := range append(d.caches, d.parents...) {
				assert.Equal(t, o.ID == tt.host, slices.Contains(r.calls, left(o.ID)), "host %d", o.ID)
			}
			play(d, r, 6, 30, 0.1, 1000, func(uint32, Attempt) (Outcome, Note) { return Succeeded, Filled })
			assert.Contains(t, r.calls, fmt.Sprintf("host %d trusted again", tt.host))
		})
	}
}

func TestWhatIsNoSignOfIllHealth(t *testing.T) {
	for _, tt := range []struct {
		name string
		one  func(d *Router, r *recorder, now float64, id uint32)
	}{
		{"GETs that no host can use", func(d *Router, r *recorder, now float64, id uint32) {
			for number := 0; len(r.shed) < int(id); number++ {
				answer(d, now, id, number, HostFailed, NoNote)
			}
		}},
		{"GETs taken back at once by their clients", func(d *Router, _ *recorder, now float64, id uint32) {
			d.HandleClientGone(now, id)
			d.HandleResult(now, AttemptResult{RequestID: id, Outcome: Canceled, Elapsed: 0.001, Final: true})
		}},
		{"a connection that breaks now and then", func(d *Router, r *recorder, now float64, id uint32) {
			if host := r.last().Host; id%6 == 0 {
				answer(d, now, id, 0, ConnectionLost, NoNote)
				assert.Equal(t, host, r.last().Host, "the GET goes there once more")
			}
			answer(d, now, id, len(d.gets[id].forwards)-1, Succeeded, CacheHit)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := fleet(nil)
			most := d.fills.most
			for id := uint32(1); id <= 60; id++ {
				now := 1 + float64(id)/100
				ask(d, now, id, fmt.Sprint("o", id))
				tt.one(d, r, now, id)
			}
			assert.Empty(t, r.calls, "no host is left")
			assert.GreaterOrEqual(t, d.fills.most, most, "the way in stays open")
			assert.Empty(t, d.gets)
		})
	}
}

func TestHostsThatAreGoneAreForgotten(t *testing.T) {
	d, r := fleet(nil)
	ask(d, 1, 7, "a")
	for id := uint32(100); id < 200; id++ {
		d.UpdateEndpoints(2, ListChanges, []Endpoint{entry(id, 0, Ready)})
		d.UpdateEndpoints(2, ListChanges, []Endpoint{entry(id, 0, Removed), entry(r.last().Host, 0, Removed)})
	}
	assert.Len(t, d.hosts, 6, "that which a GET is out at stays")
	answer(d, 3, 7, 0, Succeeded, CacheHit)
	d.UpdateEndpoints(3, ListChanges, nil)
	assert.Len(t, d.hosts, 5)
}

func TestALoneForwardIsNoSilence(t *testing.T) {
	for forwards, left := range map[int]bool{1: false, 2: true, 4: true} {
		for _, detail := range []NoteDetail{NoNotes, FillNotes} {
			d, r := fleet(func(s *Settings) { s.NoteDetail = detail })
			for i := range forwards {
				ask(d, 1+float64(i)/10, uint32(i), "a")
			}
			tickTo(d, 1, 5.9)
			assert.Equal(t, left, len(r.calls) > 0, "%d forwards, detail %d", forwards, detail)
		}
	}
}

func TestTheWayInOpensWithItsShareOfTheZone(t *testing.T) {
	for _, alike := range []int{1, 12} {
		d, r := fleet(func(s *Settings) { s.DispatchersByZone = []int{alike} })
		for i := range uint32(200) { // nothing has come back yet
			ask(d, 1, i, fmt.Sprint("o", i))
		}
		assert.Positive(t, d.fills.held)
		assert.LessOrEqual(t, d.fills.held, 200/alike)
		assert.Len(t, r.forwards, 200, "the rest looks")
	}
}

func TestSecondCopiesOnlyWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		d, r := fleet(func(s *Settings) { s.Hedging = allowed })
		ask(d, 1, 7, "a")
		d.leave(d.hosts[r.last().Host])
		tickTo(d, 1, 3)
		assert.Len(t, r.cancelled, 1)
		assert.Equal(t, allowed, len(r.forwards) > 1)
		answer(d, 3.1, 7, 0, Canceled, NoNote)
		assert.Len(t, r.forwards, 2, "once the first is back the GET goes on in any case")
	}
}

func TestLimits(t *testing.T) {
	for _, tt := range []struct {
		name    string
		elapsed float64
		outcome Outcome
		note    Note
		looks   bool
	}{
		{"fills in time keep their limit open", 0.1, Succeeded, Filled, false},
		{"late fills close it", 2, Succeeded, Filled, true},
		{"refused fills close it", 0.1, Rejected, FillsExhausted, true},
		{"late hits do not, but close that on all caches", 2, Succeeded, CacheHit, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := fleet(nil)
			for now := 0.0; now < 24; now += 3 {
				for id := range uint32(10) {
					ask(d, now, uint32(now)*10+id, fmt.Sprint("o", now, id))
				}
				for id := range uint32(10) {
					d.HandleResult(now+tt.elapsed, AttemptResult{RequestID: uint32(now)*10 + id, Outcome: tt.outcome, Elapsed: tt.elapsed, Final: tt.outcome == Succeeded, Note: tt.note})
				}
				tickTo(d, now+tt.elapsed, now+2.9)
			}
			assert.Equal(t, tt.looks, slices.ContainsFunc(r.forwards, func(f Attempt) bool { return f.Source == f.Host }))
			assert.Equal(t, tt.note != Filled, !math.IsInf(d.all.most, 1), "the limit on all caches")
		})
	}
}

func TestPastALimitAGETThatLacksIsShedAtOnce(t *testing.T) {
	for _, held := range []bool{false, true} { // a look at the cache, or at what the parent holds
		d, r := fleet(nil)
		l := map[bool]*allowance{false: &d.fills, true: &d.origins}[held]
		l.most, l.held = 0.1, 1
		ask(d, 1, 7, "a")
		require.Equal(t, []bool{held, held}, []bool{r.last().Host != r.last().Source, r.last().CachedOnly})
		answer(d, 1.01, 7, 0, NotCached, map[bool]Note{true: SourceNotCached}[held])
		assert.Equal(t, []uint32{7}, r.shed)
	}
}

func TestPassesOnOnlyToAMuchIdlerCache(t *testing.T) {
	for _, tt := range []struct {
		name       string
		told       bool // bandwidth; else serving times are learned
		own, other float64
		moves      bool
	}{
		{"own cache within the objective", true, 0.4, 0, false},
		{"own cache over it, others hardly less", true, 2, 1.5, false},
		{"own cache over it, others at a fraction", true, 2, 0.5, true},
		{"own cache crowded by others alone", false, 3, 0.1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := fleet(func(s *Settings) { s.WeightsKnown, s.TransferRateKB = tt.told, 100 })
			ask(d, 1, 7, "a")
			own := r.last().Host
			answer(d, 1, 7, 0, Succeeded, CacheHit)
			for _, h := range d.caches {
				h.makespan = map[bool]float64{true: tt.own, false: tt.other}[h.ID == own]
				h.updated, h.serving = 1, learned{h.makespan, 1}
			}
			ask(d, 1, 8, "a")
			assert.Equal(t, tt.moves, r.last().Host != own)
		})
	}
}

// heldBy is the bytes that stay in use for what a function keeps alive.
func heldBy(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// A long day asks for ever more objects, few of them at a time, while hosts are replaced: what is kept is level, and small,
// long before as many were asked for as are remembered.
func TestMemoryLevelsOffOnALongDay(t *testing.T) {
	held := map[int]float64{}
	for _, objects := range []int{8000, 16000, 32000, 64000} {
		held[objects] = heldBy(func() any {
			r := &recorder{}
			d := New(settings(), 0, r)
			d.UpdateEndpoints(0, ListComplete, []Endpoint{entry(1<<30, 1, Ready), entry(1<<30+1, 2, Ready)})
			for i := range 20 {
				d.UpdateEndpoints(0, ListChanges, []Endpoint{entry(uint32(i+1)*7919, 0, Ready)})
			}
			for i := range objects {
				now := float64(i) * 0.05
				if i%720 == 0 {
					k := i / 720
					d.UpdateEndpoints(now, ListChanges, []Endpoint{entry(uint32(k+1)*7919, 0, Removed), entry(uint32(k+21)*7919, 0, Ready)})
				}
				d.HandleTimer(now)
				ask(d, now, uint32(i+1), fmt.Sprintf("%016x", i*7919))
				answer(d, now, uint32(i+1), 0, Succeeded, CacheHit)
				r.forwards, r.shed, r.calls = r.forwards[:0], nil, nil
			}
			assert.Equal(t, min(objects, tableSize), d.items.byUse.Len()+d.items.rest.Len(), "as many are remembered as before")
			return d
		})
		t.Logf("%d objects asked for: %.2f MB", objects, held[objects]/1e6)
	}
	assert.Less(t, held[16000], 2e6)
	assert.Less(t, held[64000], 3e6, "11.4 MB when each kept all that was known of it")
	assert.Less(t, held[64000], 1.3*held[32000], "level once as many are remembered as may be")
}

// An object that was not asked for in a while is known again, with its size; one that is beyond the size of all is not.
func TestAnItemThatRestedIsKnownAgain(t *testing.T) {
	d, r := fleet(nil)
	ask(d, 0, 1, "a")
	d.HandleResult(0.1, AttemptResult{RequestID: 1, Outcome: Succeeded, Note: CacheHit, Elapsed: 0.1, SizeKB: 12, Final: true})
	ask(d, 40, 2, "b")
	require.Equal(t, 1, d.items.byUse.Len(), "a rests")
	require.Equal(t, 1, d.items.rest.Len())
	ask(d, 41, 3, "a")
	assert.Equal(t, 2, r.last().CachePriority, "asked for before")
	assert.Equal(t, 12.0, d.gets[3].item.kb)
	assert.Zero(t, d.items.rest.Len())
	for i := range tableSize {
		now := 100 + float64(i)*0.01
		ask(d, now, uint32(10+i), fmt.Sprint("c", i))
		answer(d, now, uint32(10+i), 0, Succeeded, CacheHit)
	}
	ask(d, 1000, 4, "a")
	assert.Equal(t, 1, r.last().CachePriority, "forgotten")
}

// A bound of the fleet holds also where the own limit lets one go, and at 0; without one nothing changes.
func TestTheFleetsBound(t *testing.T) {
	for _, tt := range []struct {
		bounded        bool
		bound, held    int
		room           bool
		turned, origin int
	}{{false, 0, 0, true, 0, 0}, {false, 0, 9, true, 0, 9}, {true, 0, 0, false, 1, 0}, {true, 2, 1, true, 0, 1}, {true, 2, 2, false, 1, 2}} {
		d := &Router{origins: allowance{most: math.Inf(1), held: tt.held}}
		if tt.bounded {
			d.SetQuota(0, tt.bound)
			d.SetQuota(7, tt.bound) // a host that is not known
		}
		assert.Equal(t, tt.room, d.origins.room(1), "%+v", tt)
		held, turned := d.QuotaUsage(0)
		assert.Equal(t, []int{tt.origin, tt.turned}, []int{held, turned}, "%+v", tt)
	}
}
