package extproc

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/routing"
	"elderwall/internal/changelog"
	"elderwall/internal/dispatcher"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/proxy"
	rigs "elderwall/internal/standin/rig"
)

// serves has the one delivery service of a rig be of another effect; hosts know a repeat for longer than any test takes.
func serves(effect routing.Idempotency, more ...func(*dispatcher.Config)) func(*dispatcher.Config) {
	return func(c *dispatcher.Config) {
		c.Settings.Settings.Services[0].Idempotency, c.Settings.Settings.Services[0].DedupWindow = effect, 60
		for _, change := range more {
			change(c)
		}
	}
}

// sharded has a dispatcher be one of several shards, which queues calls in place of waiting for its lock.
func sharded(c *dispatcher.Config) {
	known := func() []changelog.Event { return nil }
	c.Shard = &dispatcher.Shard{Shards: 1, Shared: dispatcher.NewShared(), Known: known}
}

// whole has a dispatcher be one module by itself.
func whole(*dispatcher.Config) {}

// stall holds a shard up until goOn is called.
func (r *rig) stall() (goOn func()) {
	held, on := make(chan bool), make(chan bool)
	go r.handler.QueueTask(func() { close(held); <-on })
	<-held
	goOn = sync.OnceFunc(func() { close(on) })
	r.Cleanup(goOn)
	return goOn
}

// lateAnswer is what a client gets of a GET that was not decided in its time.
type lateAnswer struct {
	effect   routing.Idempotency
	open     bool // the operator lets what is late go on unrouted
	status   int
	unrouted bool
}

var lateAnswers = map[string]lateAnswer{
	"must not run twice, late is shed":  {routing.NonIdempotent, false, statusFailed, false},
	"must not run twice, late may pass": {routing.NonIdempotent, true, statusFailed, false},
	"may run again, late is shed":       {routing.Idempotent, false, statusShed, false},
	"may run again, late may pass":      {routing.Idempotent, true, statusOK, true},
	"bears no key, late may pass":       {routing.IdempotencyKeyed, true, statusFailed, false},
	"bears no key, late is shed":        {routing.IdempotencyKeyed, false, statusFailed, false},
}

// A host that takes a GET and does not answer: guards against a promise of no effect, or a second run unrouted, after a forward that may have run.
func TestALateFetchPromisesNoMoreThanHolds(t *testing.T) {
	for name, want := range lateAnswers {
		for kind, module := range map[string]func(*dispatcher.Config){"one module": whole, "a shard": sharded} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				var ran atomic.Int64
				host := need.Host(t, func(a standin.Ask) string {
					if !a.Stop {
						ran.Add(1)
					}
					return ""
				})
				r := newRigWith(t, func(o *Options) { o.Rules.Routing, o.Decide, o.Open = false, 0.2, want.open }, serves(want.effect, module), host.Address)
				o := r.one(proxy.None)
				assert.Equal(t, []any{nil, want.status, want.unrouted, 1}, []any{o.Err, o.Status, o.Unrouted, o.Answers})
				assert.EqualValues(t, 1, ran.Load())
				assert.EqualValues(t, 1, r.Counts.ProxyLate.Load())
				r.quiet()
			})
		}
	}
}

// A connection that comes up after the front has answered by itself: guards against a forward for a GET whose client was told that it had no effect.
func TestNothingIsSentOnceTheFrontHasAnswered(t *testing.T) {
	for name, open := range map[string]bool{"shed": false, "passed": true} {
		t.Run(name, func(t *testing.T) {
			hosts := rigs.NewHosts(t, 1)
			var up chan bool
			r := newRigWith(t, func(o *Options) { o.Rules.Routing, o.Decide, o.Open = false, 0.1, open },
				serves(routing.NonIdempotent, func(c *dispatcher.Config) { up = rigs.HoldDials(c.Options) }), hosts.All[0].Address)
			o := r.one(proxy.None)
			assert.Equal(t, []any{open, !open}, []any{o.Unrouted, o.Status == statusShed}, "nothing of it was sent")
			close(up)
			r.quiet()
			need.Soon(t, func() bool { return r.Counts.HostConnections.Load() > 0 })
			time.Sleep(50 * time.Millisecond)
			asked, _ := hosts.Count()
			assert.Zero(t, asked)
		})
	}
}

// The front's own answer and the first byte of a forward at the same moment: guards against both happening.
func TestEitherTheFrontAnswersOrAForwardBegins(t *testing.T) {
	for range 2000 {
		a := &ask{wake: make(chan struct{}, 1)}
		var answers, begins bool
		var all sync.WaitGroup
		all.Go(func() { answers = a.withdraw() })
		all.Go(func() { begins = a.Commit(false) })
		all.Wait()
		require.NotEqual(t, answers, begins)
		assert.Equal(t, begins, a.Commit(false), "it stays so")
		assert.Equal(t, answers, a.withdraw())
	}
}

// A leader whose front has answered by itself while others wait for its fetch: guards against a forward that is taken back for ever, as nobody may
// begin it.
func TestFollowersOfAGETThatWasLate(t *testing.T) {
	hosts := rigs.NewHosts(t, 1)
	var up chan bool
	r := newRigWith(t, func(o *Options) { o.Rules.Routing, o.Decide = false, 0.6 },
		serves(routing.Idempotent, func(c *dispatcher.Config) {
			c.Coalesce, up = []bool{true}, rigs.HoldDials(c.Options)
		}), hosts.All[0].Address)
	follower := make(chan proxy.Outcome, 1)
	p := r.proxy()
	go func() {
		time.Sleep(300 * time.Millisecond)
		follower <- p.Do(context.Background(), path, proxy.None)
	}()
	assert.Equal(t, statusShed, r.one(proxy.None).Status, "the leader's time is over")
	close(up)
	assert.Equal(t, statusOK, (<-follower).Status)
	assert.EqualValues(t, 1, r.Counts.Joined.Load())
	r.quiet()
}

// A response that a stalled shard does not judge in its time: guards against a promise of no effect for a GET that its host has answered.
func TestAResponseThatIsJudgedTooLate(t *testing.T) {
	for effect, want := range map[routing.Idempotency]int{
		routing.NonIdempotent: statusFailed, routing.IdempotencyKeyed: statusFailed, routing.Idempotent: statusShed,
	} {
		t.Run(fmt.Sprint("effect ", effect), func(t *testing.T) {
			r := newRigWith(t, func(o *Options) { o.Decide = 0.05 }, serves(effect, sharded))
			var goOn func()
			r.answer = func(host string, h map[string]string) proxy.Answer {
				goOn = r.stall()
				return ok(host, h)
			}
			o := r.one(proxy.None)
			assert.Equal(t, []any{nil, want, 1, 1}, []any{o.Err, o.Status, o.Answers, len(o.Hosts)})
			goOn()
			r.quiet()
			need.Soon(t, func() bool { return r.Counts.GETs.Load() == r.sum() }, "the GET has one end")
		})
	}
}

// The same where the shard goes on while the router's answer is waited for: the copy that was judged meanwhile goes out.
func TestAResponseThatIsJudgedJustInTime(t *testing.T) {
	r := newRigWith(t, func(o *Options) { o.Decide = 0.05 }, serves(routing.NonIdempotent, sharded))
	r.answer = func(host string, h map[string]string) proxy.Answer {
		goOn := r.stall()
		go func() {
			for r.Counts.ProxyLate.Load() == 0 {
				time.Sleep(100 * time.Microsecond)
			}
			goOn()
		}()
		return ok(host, h)
	}
	o := r.one(proxy.None)
	assert.Contains(t, []int{statusOK, statusFailed}, o.Status, "failed where the test's machine is slow")
	r.quiet()
	assert.EqualValues(t, 1, r.Counts.Returned.Load()+r.Counts.Errored.Load()+r.Counts.GivenUp.Load())
}

// heldAfterAForward gives the id of a GET whose proxy hung up once it was told where to send, so that the forward may have run.
func (r *rig) heldAfterAForward() (id string) {
	o := r.one(proxy.GoneAfterTold)
	need.Soon(r.TB, func() bool { _, streams := r.Count(); return streams == 0 })
	return o.Headers["x-elderwall-get"]
}

// A further call that a stalled shard does not decide in its time: guards against a promise of no effect, or a second run unrouted, after the forward
// of an earlier call.
func TestAFurtherCallThatIsDecidedTooLate(t *testing.T) {
	for name, want := range lateAnswers {
		t.Run(name, func(t *testing.T) {
			r := newRigWith(t, func(o *Options) { o.Calls.HoldTime, o.Decide, o.Open = 5, 0.05, want.open }, serves(want.effect, sharded))
			id := r.heldAfterAForward()
			goOn := r.stall()
			o := r.one(proxy.None, "x-elderwall-get", id)
			assert.Equal(t, []any{nil, want.status, want.unrouted}, []any{o.Err, o.Status, o.Unrouted})
			assert.EqualValues(t, 1, r.Counts.ProxyAgain.Load())
			goOn()
			r.quiet()
		})
	}
}

// A further call while the dispatcher drains goes on with its GET, which was taken before: guards against a promise of no effect whatever ran.
func TestAFurtherCallWhileTheDispatcherDrains(t *testing.T) {
	for effect, want := range map[routing.Idempotency]int{routing.NonIdempotent: statusFailed, routing.IdempotencyKeyed: statusFailed, routing.Idempotent: statusOK} {
		for name, module := range map[string]func(*dispatcher.Config){"one module": whole, "a shard": sharded} {
			t.Run(fmt.Sprint("effect ", effect, ", ", name), func(t *testing.T) {
				r := newRigWith(t, func(o *Options) { o.Calls.HoldTime = 5 }, serves(effect, module))
				id := r.heldAfterAForward()
				r.Close()
				assert.False(t, r.Quiet(), "the drain waits for it")
				assert.Equal(t, want, r.one(proxy.None, "x-elderwall-get", id).Status)
				assert.Equal(t, statusFailed, r.one(proxy.None, "x-elderwall-get", id).Status, "its GET is over, and may have run")
				assert.Equal(t, statusShed, r.one(proxy.None).Status, "a new one")
				r.quiet()
			})
		}
	}
}

// A purge makes a copy too old while a cache is at work: guards against taking the cache's answer for proof that the GET never ran.
func TestACopyThatAPurgeMadeOldHasRun(t *testing.T) {
	for effect, want := range map[routing.Idempotency]struct{ status, calls, unaided int }{
		routing.NonIdempotent:    {statusFailed, 1, statusFailed},
		routing.IdempotencyKeyed: {statusFailed, 1, statusFailed}, // it bears no key, so no host recognizes the repeat
		routing.Idempotent:       {statusOK, 2, statusShed},
	} {
		for name, module := range map[string]func(*dispatcher.Config){"one module": whole, "a shard": sharded} {
			t.Run(fmt.Sprint("effect ", effect, ", ", name), func(t *testing.T) {
				r := newRigWith(t, nil, serves(effect, module))
				r.answer = func(_ string, h map[string]string) proxy.Answer {
					if h["x-elderwall-forward"] == "0" {
						r.handler.Take(rigs.Purge(rigs.Object))
						return proxy.Answer{Status: 200, Headers: map[string]string{"age": "100"}}
					}
					return proxy.Answer{Status: 200, Headers: map[string]string{"age": "0"}}
				}
				o := r.one(proxy.None)
				assert.Equal(t, []any{nil, want.status, 1, want.calls, want.calls}, []any{o.Err, o.Status, o.Answers, o.Calls, len(o.Hosts)})
				assert.Equal(t, []int64{1, 0}, []int64{r.Counts.OldCopy.Load(), r.Counts.Full.Load()})
				p := r.proxy()
				p.Tries = 1 // one that does not come again
				assert.Equal(t, want.unaided, p.Do(t.Context(), path, proxy.None).Status)
				r.quiet()
			})
		}
	}
}
