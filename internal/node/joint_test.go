package node

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/call"
	"elderwall/internal/clock"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
)

// jointRig is a node whose GETs share forwards, before hosts that a test holds up.
type jointRig struct {
	testing.TB
	*Node
	hosts   *rig.Hosts
	wait    chan bool
	clients []*rig.Call
}

func newJointRig(t testing.TB, joins ...bool) *jointRig {
	r := &jointRig{TB: t, hosts: rig.NewHosts(t, 2)}
	r.wait = r.hosts.Hold()
	o, end := rig.Life(t)
	r.Node = New(Config{Settings: rig.Settings(100_000), Clock: clock.New(), Options: o, Connections: 100, Joins: joins})
	r.Take(rig.Whole(r.hosts.Entries...))
	o.Group.Go(func() error { return r.Node.Run(o.Context) })
	t.Cleanup(func() {
		select {
		case <-r.wait:
		default:
			close(r.wait)
		}
		end()
		r.Node.mu.Lock()
		defer r.Node.mu.Unlock()
		assert.Empty(t, r.Node.gets, "nothing is held")
		for _, c := range r.clients {
			assert.LessOrEqual(t, c.N.Load(), int32(1), "one answer")
		}
	})
	return r
}

// get sends one GET that waits for so many seconds; gets sends so many.
func (r *jointRig) get(budget float64) *rig.Call { return r.of(rig.Object, budget) }

func (r *jointRig) gets(n int) (all []*rig.Call) {
	for range n {
		all = append(all, r.get(10))
	}
	return all
}

// of is get for an object.
func (r *jointRig) of(object string, budget float64) *rig.Call {
	c := rig.NewCall(r.Options.Room)
	r.clients = append(r.clients, c)
	r.Process(c, call.GET{Service: "segment", ID: rig.Fresh()[1], Object: object, PartText: "0", Budget: budget})
	return c
}

func (r *jointRig) read(c *rig.Call) string {
	select {
	case word := <-c.Got:
		return word
	case <-time.After(5 * time.Second):
		r.Fatal("no answer")
		return ""
	}
}

// asked is how many forwards hosts had, stopped how many STOPs.
func (r *jointRig) asked() int64   { n, _ := r.hosts.Count(); return n }
func (r *jointRig) stopped() int64 { _, n := r.hosts.Count(); return n }

// under waits until hosts are at so many forwards.
func (r *jointRig) under(n int64) { need.Soon(r, func() bool { return r.asked() == n }) }

// served lets hosts go on, and wants clients to have their bytes.
func (r *jointRig) served(all ...*rig.Call) {
	close(r.wait)
	for _, c := range all {
		assert.Equal(r, "served bytes", r.read(c))
	}
}

func TestManyGETsShareAForward(t *testing.T) {
	r := newJointRig(t, true)
	all := r.gets(500)
	r.under(1)
	r.served(all...)
	c := r.Options.Counts
	assert.Equal(t, []int64{1, 499, 500}, []int64{r.asked(), c.Joined.Load(), c.Returned.Load()})
}

// The first asker leaves, and others need the forward; it stops within a moment of the last.
func TestAForwardThatOthersNeed(t *testing.T) {
	r := newJointRig(t, true)
	a, b, c := r.get(10), r.get(10), r.get(10)
	r.under(1)
	r.GiveUp(a)
	r.GiveUp(b)
	time.Sleep(20 * time.Millisecond)
	assert.Zero(t, r.stopped())
	r.GiveUp(c)
	require.Eventually(t, func() bool { return r.stopped() == 1 }, 100*time.Millisecond, time.Millisecond, "within 100 ms of the last")
	d, e := r.get(10), r.get(10)
	r.under(2)
	r.GiveUp(d)
	r.served(e)
	for _, gone := range []*rig.Call{a, b, c, d} {
		assert.Zero(t, gone.N.Load(), "who has left has no answer")
	}
}

// A forward that fails brings no herd: the module's further forwards are one GET's.
func TestAFailureBringsNoHerd(t *testing.T) {
	r := newJointRig(t, true)
	r.hosts.Answer(func(a standin.Ask) string { return a.ID + " FAULT - 0\r\n\r\n" })
	all := r.gets(300)
	r.under(1)
	close(r.wait)
	for _, c := range all {
		assert.Contains(t, []string{"failed", "refused"}, r.read(c))
	}
	assert.LessOrEqual(t, r.asked(), int64(3*6), "three in the lead, up to six forwards each")
}

// A host calls a copy current where nobody brought one: none of those that share the forward are told that.
func TestACopyThatNobodyBroughtIsNotCurrent(t *testing.T) {
	r := newJointRig(t, true)
	var first atomic.Bool
	r.hosts.Answer(func(a standin.Ask) string {
		if first.CompareAndSwap(false, true) {
			return standin.Answer(a.ID, "VALID", "rev=4be0c1927d55a6f3,detail=mem", "")
		}
		return standin.Hit(a.ID, "bytes")
	})
	all := r.gets(3)
	r.under(1)
	r.served(all...)
	assert.EqualValues(t, 1, r.Options.Counts.Unnamed.Load())
	assert.Zero(t, r.Options.Counts.Unchanged.Load())
}

func TestEachWaitsForAsLongAsItCan(t *testing.T) {
	r := newJointRig(t, true)
	long, short := r.get(10), r.get(0.2)
	began := time.Now()
	assert.Equal(t, "refused", r.read(short))
	assert.Less(t, time.Since(began), 200*time.Millisecond)
	r.served(long, r.get(10))
	assert.EqualValues(t, 1, r.asked())
}

// A leader's own time is over, and others wait for longer: one of them goes on.
func TestALeaderWhoseTimeIsOver(t *testing.T) {
	r := newJointRig(t, true)
	lead, other := r.get(0.3), r.get(10)
	assert.Equal(t, "refused", r.read(lead))
	r.under(2)
	r.served(other)
	assert.EqualValues(t, 1, r.Options.Counts.TookLead.Load())
}

func TestAPurgeBetweenJoinAndAnswer(t *testing.T) {
	r := newJointRig(t, true)
	before := r.get(10)
	r.under(1)
	r.Take(rig.Purge(rig.Object))
	after := r.get(10)
	r.under(2)
	r.served(before, after)
}

// Clients that leave and ask again within a millisecond, a thousand times.
func TestClientsThatLeaveAndComeAgain(t *testing.T) {
	r := newJointRig(t, true)
	stay := r.get(20)
	for range 1000 {
		r.GiveUp(r.get(10))
	}
	r.under(1)
	assert.Zero(t, r.stopped())
	r.served(stay)
	assert.EqualValues(t, 1, r.asked())
}

// Clients that leave just as the answer comes, over and over: one or the other.
func TestLeavingAsTheAnswerComes(t *testing.T) {
	r := newJointRig(t, true)
	close(r.wait)
	for range 300 {
		a, b := r.get(10), r.get(10)
		var all sync.WaitGroup
		all.Go(func() { r.GiveUp(a) })
		assert.Equal(t, "served bytes", r.read(b))
		all.Wait()
	}
}

func TestOffNothingIsShared(t *testing.T) {
	r := newJointRig(t)
	all := r.gets(10)
	r.under(10)
	r.served(all...)
}

// Clients that leave at random: hosts are told to stop all that was under way for them, and no more, within a tenth of a second.
func TestWorkForThoseWhoLeftStops(t *testing.T) {
	for _, share := range []int{10, 50, 90} {
		t.Run(fmt.Sprint(share, "%"), func(t *testing.T) {
			r := newJointRig(t, true)
			chance := rand.New(rand.NewPCG(uint64(share), 1))
			var stay, leave []*rig.Call
			needed := map[int]bool{} // objects that clients stay for
			for i := range 600 {
				object := i % 200
				c := r.of(fmt.Sprintf("%016x", object), 10)
				if chance.IntN(100) < share {
					leave = append(leave, c)
				} else {
					stay, needed[object] = append(stay, c), true
				}
			}
			r.under(200)
			for _, c := range leave {
				r.GiveUp(c)
			}
			left := int64(200 - len(needed))
			require.Eventually(t, func() bool { return r.stopped() == left }, 100*time.Millisecond, time.Millisecond)
			r.served(stay...)
			assert.Equal(t, []int64{left, 200}, []int64{r.stopped(), r.asked()}, "nothing that is needed is stopped")
		})
	}
}

// BenchmarkHotPart is clients that ask for one part at once of hosts that take 2 ms for each, shared and not.
func BenchmarkHotPart(b *testing.B) {
	for _, n := range []int{1, 100, 10_000} {
		for _, joins := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d clients/shared %t", n, joins), func(b *testing.B) {
				r := newJointRig(b, joins)
				close(r.wait)
				busy := make(chan bool, 16) // what a host does at a time
				r.hosts.Answer(func(a standin.Ask) string {
					busy <- true
					time.Sleep(2 * time.Millisecond)
					<-busy
					return standin.Hit(a.ID, "bytes")
				})
				served := 0
				b.ResetTimer()
				for range b.N {
					for _, c := range r.gets(n) {
						if r.read(c) == "served bytes" {
							served++
						}
					}
				}
				b.ReportMetric(float64(served)/b.Elapsed().Seconds(), "served/s")
				b.ReportMetric(float64(r.asked())/float64(b.N), "forwards/op")
			})
		}
	}
}
