package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/room"
	"elderwall/internal/standin"
	"elderwall/internal/standin/rig"
)

// client is a call that keeps its answers.
type client struct {
	room *room.Room
	got  chan string
	n    atomic.Int32
}

func (c *client) answer(word string) {
	c.n.Add(1)
	c.got <- word
}

func (c *client) Serve(body []byte, _ bool) {
	c.room.Give(len(body))
	c.answer("served " + string(body))
}
func (c *client) Refuse(int64)        { c.answer("refused") }
func (c *client) Fail(string)         { c.answer("failed") }
func (c *client) Mark(int, time.Time) {}
func (c *client) Marked() int         { return 0 }
func (c *client) Origin() uint64      { return 0 }

// jointRig is a node whose GETs share forwards, before hosts that a test holds up.
type jointRig struct {
	testing.TB
	*Node
	asked, stopped atomic.Int64
	wait           chan bool
	answer         atomic.Pointer[func(standin.Ask) string]
	ids            atomic.Int64
	mu             sync.Mutex
	clients        []*client
}

func newJointRig(t testing.TB, joins bool) *jointRig {
	r := &jointRig{TB: t, wait: make(chan bool)}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	o, s := rig.Options(ctx, group), rig.Settings(100_000)
	c := Config{Settings: s, Clock: clock.New(), Options: o, Connections: 100}
	if joins {
		c.Joins = []bool{true}
	}
	r.Node = New(c)
	whole := func(a standin.Ask) string { return standin.Hit(a.ID, "bytes") }
	r.answer.Store(&whole)
	var entries []changelog.Host
	for i := range 2 {
		h, err := standin.Listen("127.0.0.1:0", func(a standin.Ask) string {
			if a.Stop {
				r.stopped.Add(1)
				return ""
			}
			r.asked.Add(1)
			<-r.wait
			return (*r.answer.Load())(a)
		})
		require.NoError(t, err)
		t.Cleanup(h.Close)
		entries = append(entries, rig.Entry(fmt.Sprint("s-", i), h.Address, "SERVING"))
	}
	r.Take(changelog.Event{Fleet: &changelog.Fleet{Reset: true, Hosts: entries}})
	group.Go(func() error { return r.Node.Run(ctx) })
	t.Cleanup(func() {
		select {
		case <-r.wait:
		default:
			close(r.wait)
		}
		cancel()
		assert.NoError(t, group.Wait())
		assert.EqualValues(t, 1<<24, o.Room.Left(), "all room is given back")
		r.Node.mu.Lock()
		defer r.Node.mu.Unlock()
		assert.Empty(t, r.gets, "nothing is held")
		for _, c := range r.clients {
			assert.LessOrEqual(t, c.n.Load(), int32(1), "one answer")
		}
	})
	return r
}

// get sends one GET that waits for so many seconds.
func (r *jointRig) get(budget float64) *client { return r.of("7f3a9c21e0b4d655", budget) }

// of is the same for an object.
func (r *jointRig) of(object string, budget float64) *client {
	c := &client{room: r.Options.Room, got: make(chan string, 4)}
	r.mu.Lock()
	r.clients = append(r.clients, c)
	r.mu.Unlock()
	r.Process(c, call.GET{Service: "segment", ID: fmt.Sprintf("%016x", r.ids.Add(1)), Object: object, PartText: "0", Budget: budget})
	return c
}

func (r *jointRig) read(c *client) string {
	select {
	case word := <-c.got:
		return word
	case <-time.After(5 * time.Second):
		r.Fatal("no answer")
		return ""
	}
}

// under waits until hosts are at so many forwards.
func (r *jointRig) under(n int64) {
	require.Eventually(r, func() bool { return r.asked.Load() == n }, 2*time.Second, time.Millisecond)
}

func TestManyGETsShareAForward(t *testing.T) {
	r := newJointRig(t, true)
	var all []*client
	for range 500 {
		all = append(all, r.get(10))
	}
	r.under(1)
	close(r.wait)
	for _, c := range all {
		assert.Equal(t, "served bytes", r.read(c))
	}
	assert.EqualValues(t, 1, r.asked.Load())
	assert.EqualValues(t, 499, r.Options.Counts.Joined.Load())
	assert.EqualValues(t, 500, r.Options.Counts.Returned.Load())
}

// The first asker leaves, and others need the forward; it stops within a moment of the last.
func TestAForwardThatOthersNeed(t *testing.T) {
	r := newJointRig(t, true)
	a, b, c := r.get(10), r.get(10), r.get(10)
	r.under(1)
	r.GiveUp(a)
	r.GiveUp(b)
	time.Sleep(20 * time.Millisecond)
	assert.Zero(t, r.stopped.Load())
	r.GiveUp(c)
	require.Eventually(t, func() bool { return r.stopped.Load() == 1 }, 100*time.Millisecond, time.Millisecond, "within 100 ms of the last")
	d, e := r.get(10), r.get(10)
	r.under(2)
	r.GiveUp(d)
	close(r.wait)
	assert.Equal(t, "served bytes", r.read(e))
	for _, gone := range []*client{a, b, c, d} {
		assert.Zero(t, gone.n.Load(), "who has left has no answer")
	}
}

// A forward that fails brings no herd: the module's further forwards are one GET's.
func TestAFailureBringsNoHerd(t *testing.T) {
	r := newJointRig(t, true)
	fault := func(a standin.Ask) string { return a.ID + " FAULT - 0\r\n\r\n" }
	r.answer.Store(&fault)
	var all []*client
	for range 300 {
		all = append(all, r.get(10))
	}
	r.under(1)
	close(r.wait)
	words := map[string]int{}
	for _, c := range all {
		words[r.read(c)]++
	}
	assert.Equal(t, 300, words["failed"]+words["refused"])
	assert.LessOrEqual(t, r.asked.Load(), int64(3*6), "three in the lead, up to six forwards each")
}

// A host calls a copy current where nobody brought one: none of those that share the forward are told that.
func TestACopyThatNobodyBroughtIsNotCurrent(t *testing.T) {
	r := newJointRig(t, true)
	var first atomic.Bool
	once := func(a standin.Ask) string {
		if first.CompareAndSwap(false, true) {
			return standin.Answer(a.ID, "VALID", "rev=4be0c1927d55a6f3,detail=mem", "")
		}
		return standin.Hit(a.ID, "bytes")
	}
	r.answer.Store(&once)
	all := []*client{r.get(10), r.get(10), r.get(10)}
	r.under(1)
	close(r.wait)
	for _, c := range all {
		assert.Equal(t, "served bytes", r.read(c))
	}
	assert.EqualValues(t, 1, r.Options.Counts.Unnamed.Load())
	assert.Zero(t, r.Options.Counts.Unchanged.Load())
}

func TestEachWaitsForAsLongAsItCan(t *testing.T) {
	r := newJointRig(t, true)
	long, short := r.get(10), r.get(0.2)
	began := time.Now()
	assert.Equal(t, "refused", r.read(short))
	assert.Less(t, time.Since(began), 200*time.Millisecond)
	r2 := r.get(10)
	close(r.wait)
	assert.Equal(t, "served bytes", r.read(long))
	assert.Equal(t, "served bytes", r.read(r2))
	assert.EqualValues(t, 1, r.asked.Load())
}

// A leader's own time is over, and others wait for longer: one of them goes on.
func TestALeaderWhoseTimeIsOver(t *testing.T) {
	r := newJointRig(t, true)
	lead, other := r.get(0.3), r.get(10)
	assert.Equal(t, "refused", r.read(lead))
	r.under(2)
	close(r.wait)
	assert.Equal(t, "served bytes", r.read(other))
	assert.EqualValues(t, 1, r.Options.Counts.TookLead.Load())
}

func TestAPurgeBetweenJoinAndAnswer(t *testing.T) {
	r := newJointRig(t, true)
	before := r.get(10)
	r.under(1)
	r.Take(changelog.Event{Purge: &changelog.Purge{Object: "7f3a9c21e0b4d655", Time: time.Now().UnixMilli()}})
	after := r.get(10)
	r.under(2)
	close(r.wait)
	assert.Equal(t, "served bytes", r.read(before))
	assert.Equal(t, "served bytes", r.read(after))
}

// Clients that leave and ask again within a millisecond, a thousand times.
func TestClientsThatLeaveAndComeAgain(t *testing.T) {
	r := newJointRig(t, true)
	stay := r.get(20)
	for range 1000 {
		c := r.get(10)
		r.GiveUp(c)
	}
	r.under(1)
	assert.Zero(t, r.stopped.Load())
	close(r.wait)
	assert.Equal(t, "served bytes", r.read(stay))
	assert.EqualValues(t, 1, r.asked.Load())
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
	r := newJointRig(t, false)
	for range 10 {
		r.get(10)
	}
	r.under(10)
	close(r.wait)
	require.Eventually(t, func() bool { return r.Options.Counts.Returned.Load() == 10 }, 2*time.Second, time.Millisecond)
}

// Clients that leave at random: hosts are told to stop all that was under way for them, and no more, within a tenth of a second.
func TestWorkForThoseWhoLeftStops(t *testing.T) {
	for _, share := range []int{10, 50, 90} {
		t.Run(fmt.Sprint(share, "%"), func(t *testing.T) {
			r := newJointRig(t, true)
			chance := rand.New(rand.NewPCG(uint64(share), 1))
			var stay []*client
			var leave []*client
			parts := map[int]int{} // clients that stay, by object
			all := map[int]bool{}
			for i := range 600 {
				object := i % 200
				c := r.of(fmt.Sprintf("%016x", object), 10)
				if all[object] = true; chance.IntN(100) < share {
					leave = append(leave, c)
				} else {
					stay = append(stay, c)
					parts[object]++
				}
			}
			r.under(200)
			for _, c := range leave {
				r.GiveUp(c)
			}
			left := int64(len(all) - len(parts))
			require.Eventually(t, func() bool { return r.stopped.Load() == left }, 100*time.Millisecond, time.Millisecond)
			close(r.wait)
			for _, c := range stay {
				assert.Equal(t, "served bytes", r.read(c))
			}
			assert.Equal(t, left, r.stopped.Load(), "nothing that is needed is stopped")
			assert.EqualValues(t, 200, r.asked.Load())
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
				answer := func(a standin.Ask) string {
					busy <- true
					time.Sleep(2 * time.Millisecond)
					<-busy
					return standin.Hit(a.ID, "bytes")
				}
				r.answer.Store(&answer)
				served := 0
				b.ResetTimer()
				for range b.N {
					var all []*client
					for range n {
						all = append(all, r.get(20))
					}
					for _, c := range all {
						if r.read(c) == "served bytes" {
							served++
						}
					}
				}
				b.ReportMetric(float64(served)/b.Elapsed().Seconds(), "served/s")
				b.ReportMetric(float64(r.asked.Load())/float64(b.N), "forwards/op")
			})
		}
	}
}
