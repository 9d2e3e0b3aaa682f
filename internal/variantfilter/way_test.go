package variantfilter_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pure "elderwall/core/cluster/variant"
	"elderwall/core/routing"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/dispatcher"
	"elderwall/internal/downstream"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
	"elderwall/internal/variantfilter"
)

var (
	classes = []string{"tv", "phone", "car"}
	objects = []string{"7f3a9c21e0b4d655", "00000000000000a1"}
)

// truth is what an origin gives: tv and phone the same of each state, car something else, and each may be changed by itself.
type truth struct {
	mu      sync.Mutex
	changed map[string]int
}

func (o *truth) change(class string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changed[class]++
}

func (o *truth) bytes(object, part, class string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	content := map[string]string{"tv": "wide", "phone": "wide", "car": "narrow", "": "plain"}[class]
	return fmt.Sprint(object, " ", part, " ", content, " ", o.changed[class])
}

// later is a stage that lives some seconds ahead.
type later struct {
	*variantfilter.Stage
	by atomic.Int64
}

func (l *later) Key(now float64, in *routing.Request, device string) (dispatcher.Variant, string, bool) {
	return l.Stage.Key(now+float64(l.by.Load()), in, device)
}

func (l *later) Answered(now float64, in *routing.Request, v dispatcher.Variant, e dispatcher.Evidence) bool {
	return l.Stage.Answered(now+float64(l.by.Load()), in, v, e)
}

func (l *later) Fits(now float64, in *routing.Request, v dispatcher.Variant, e dispatcher.Evidence) bool {
	return l.Stage.Fits(now+float64(l.by.Load()), in, v, e)
}

// way is a front and a node with the stage before two hosts that have all of the truth.
type way struct {
	testing.TB
	*truth
	*dispatcher.Dispatcher
	stage   *later
	address string
	ids     atomic.Int64
	seq     int64
	hosts   *rig.Hosts
}

func newWay(t testing.TB, proof pure.ProofKind, joins bool, witnesses ...uint32) *way {
	w := &way{TB: t, truth: &truth{changed: map[string]int{}}, hosts: rig.NewHosts(t, 2)}
	w.hosts.Answer(w.answer)
	o, _ := rig.Life(t)
	s := rig.Settings(10_000)
	s.Services = append(s.Services, "order")
	tokened := s.Settings.Services[0]
	tokened.Idempotency = routing.IdempotencyKeyed
	s.Settings.Services = append(s.Settings.Services, tokened)
	one := pure.Service{Classes: classes, Proof: proof, Witnesses: max(1, len(witnesses)), Idempotent: true, EvidenceTTL: math.Inf(1)}
	w.stage = &later{Stage: need.Of(variantfilter.New(variantfilter.Settings{Module: pure.Settings{Services: []pure.Service{one, one}, MaxObjects: 1000, Seed: 7, Self: "d1"}, Fields: []string{"dev", "dev"}}))(t)}
	o.Proofs = true
	w.Dispatcher = dispatcher.New(dispatcher.Config{Settings: s, Clock: clock.New(), Options: o, Connections: 100, Variants: w.stage, Coalesce: []bool{joins, joins}})
	w.take(rig.Whole(w.hosts.Entries...))
	l := need.Listener(t)
	w.address = l.Addr().String()
	named := downstream.Device{Classes: map[string]string{"tv": "tv", "phone": "phone", "car": "car"}}
	server := &downstream.Server{
		Handler: w.Dispatcher, Log: zerolog.Nop(), Counts: o.Counts, Room: o.Room, Most: 100,
		Devices: downstream.Devices{Fields: []string{"device"}, By: map[string]downstream.Device{"segment": named, "order": named}},
	}
	o.Group.Go(func() error { return w.Run(o.Context) })
	o.Group.Go(func() error { return server.Serve(o.Context, l) })
	return w
}

func tagOf(bytes string) string {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(bytes))
	return fmt.Sprintf("%016x", sum.Sum64())
}

func (w *way) answer(a standin.Ask) string {
	bytes := w.bytes(a.Fields["path"], a.Fields["blk"], a.Fields["dev"])
	tag := tagOf(bytes)
	if a.Fields["inm"] == tag {
		return standin.Answer(a.ID, "VALID", "rev="+tag+",detail=mem", "")
	}
	return standin.Answer(a.ID, "HIT", "rev="+tag+",detail=mem", bytes)
}

// hold has hosts wait until what it gives is called.
func (w *way) hold() (release func()) {
	wait := w.hosts.Hold()
	release = sync.OnceFunc(func() { close(wait) })
	w.Cleanup(release)
	return release
}

// seen takes what hosts were asked since it was last called.
func (w *way) seen() (all []map[string]string) {
	for _, a := range w.hosts.Asked() {
		all = append(all, a.Fields)
	}
	return all
}

func (w *way) take(e changelog.Event) {
	w.seq++
	e.Seq = w.seq
	w.Take(e)
}

func (w *way) purge(object string) { w.take(rig.Purge(object)) }

// client is a connection of its own, on which a class's GET waits.
type client struct {
	*standin.Client
	object, class string
}

func (w *way) send(object, class string, changes ...string) client {
	c := need.Client(w, w.address)
	need.Sent(w, c, append([]string{"obj", object, "nth", "0", "device", class, "rid", fmt.Sprintf("%016x", w.ids.Add(1))}, changes...)...)
	return client{c, object, class}
}

// holds reads an answer, whose bytes must be those of the truth for the client's own class.
func (w *way) holds(c client) standin.Reply {
	_ = c.Conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := need.Of(c.Read())(w)
	require.Equal(w, "served", r.Kind)
	if r.Fields["ok304"] == "" {
		assert.Equal(w, w.bytes(c.object, "0", c.class), r.Body, "%s gets its own bytes", c.class)
	}
	_ = c.Conn.Close()
	return r
}

func (w *way) get(object, class string) { w.holds(w.send(object, class)) }

// joined has tv and phone be one, past the time in which copies are warmed.
func (w *way) joined() {
	for _, o := range objects {
		for range 2 {
			for _, c := range classes {
				w.get(o, c)
			}
		}
	}
	w.stage.by.Add(60)
	for range 200 { // checks fall with each that agrees
		w.get(objects[0], "phone")
	}
	w.seen()
}

func TestClassesWithTheSameBytesShareCopies(t *testing.T) {
	for name, proof := range map[string]pure.ProofKind{"tag": pure.ProofByTag, "body": pure.ProofByBody} {
		t.Run(name, func(t *testing.T) {
			w := newWay(t, proof, false)
			w.joined()
			for range 100 {
				w.get(objects[0], "phone")
				w.get(objects[0], "car")
			}
			by := map[string]int{}
			for _, f := range w.seen() {
				by[f["dev"]]++
				assert.Equal(t, objects[0], f["path"], "the object as asked")
			}
			assert.Greater(t, by["tv"], 90, "phone goes by tv")
			assert.Equal(t, 100, by["car"], "and nobody by car")
		})
	}
}

// A class goes to one host; a second witness comes by another place in the order of hosts, whose name a purge reaches too.
func TestTwoWitnesses(t *testing.T) {
	w := newWay(t, pure.ProofByTag, false, 1, 2)
	for n := 0; w.Options.Counts.Rewritten.Load() == 0; n++ {
		require.Less(t, n, 1000, "never rewritten")
		w.holds(w.send(objects[0], classes[n%2]))
		w.stage.by.Add(1)
	}
	assert.Len(t, w.stage.Purged(900, 5, objects[0], 0), 14, "names by three classes at five places, but the own")
}

// Of one of two joined classes the origin changes the bytes, and tells nobody: no client gets the other's, and they are apart at once.
func TestContraryEvidenceSplitsBeforeAByteGoesOut(t *testing.T) {
	for _, joins := range []bool{false, true} {
		t.Run(fmt.Sprint("joins ", joins), func(t *testing.T) {
			w := newWay(t, pure.ProofByBody, joins)
			w.joined()
			release, before := w.hold(), w.Options.Counts.GETs.Load()
			var all []client
			for range 10 {
				all = append(all, w.send(objects[0], "phone"), w.send(objects[0], "tv"))
			}
			need.Soon(t, func() bool { return w.Options.Counts.GETs.Load()-before == 20 })
			w.change("tv")
			release()
			for _, c := range all {
				w.holds(c)
			}
			assert.Positive(t, w.Options.Counts.Turned.Load())
			w.seen()
			for range 20 {
				w.get(objects[0], "phone")
			}
			for _, f := range w.seen() {
				assert.Equal(t, "phone", f["dev"])
			}
		})
	}
}

func TestClassesOfOneContentShareAForward(t *testing.T) {
	w := newWay(t, pure.ProofByTag, true)
	w.joined()
	release := w.hold()
	joined := w.Options.Counts.Joined.Load()
	all := []client{w.send(objects[0], "tv")}
	need.Soon(t, func() bool { return len(w.seen()) == 1 })
	for range 20 {
		all = append(all, w.send(objects[0], "phone"), w.send(objects[0], "tv"), w.send(objects[0], ""))
	}
	need.Soon(t, func() bool { return w.Options.Counts.Joined.Load()-joined >= 20+18+19 })
	for _, f := range w.seen() {
		assert.NotEqual(t, "tv", f["dev"])
	}
	release()
	for _, c := range all {
		w.holds(c)
	}
}

// A purge voids what was known, also of an answer that is under way by then, and no older copy will do for any class.
func TestPurges(t *testing.T) {
	w := newWay(t, pure.ProofByTag, false)
	w.joined()
	var under client
	var release func()
	for { // a share of GETs is sent by their own class
		release = w.hold()
		under = w.send(objects[0], "phone")
		var all []map[string]string
		need.Soon(t, func() bool { all = append(all, w.seen()...); return len(all) == 1 })
		if all[0]["dev"] == "tv" {
			break
		}
		release()
		w.holds(under)
	}
	w.change("tv")
	w.purge(objects[0])
	release()
	w.holds(under)
	assert.Equal(t, "phone", w.seen()[0]["dev"])
	for _, c := range classes {
		w.get(objects[0], c)
		f := w.seen()[0]
		assert.Equal(t, c, f["dev"])
		limit, err := strconv.Atoi(f["cap"])
		require.NoError(t, err, "bounded by the purge")
		assert.Less(t, limit, 10_000)
	}
	for range 50 {
		w.get(objects[1], "phone")
	}
	assert.True(t, slices.ContainsFunc(w.seen(), func(f map[string]string) bool { return f["dev"] == "tv" }), "another object is left alone")
}

// What is never rewritten: tokened services, GETs with a body, devices that are not declared.
func TestNeverRewritten(t *testing.T) {
	w := newWay(t, pure.ProofByTag, false)
	w.joined()
	before := w.Options.Counts.Rewritten.Load()
	for range 50 {
		for _, c := range []client{w.send(objects[0], "tv", "method", "order"), w.send(objects[0], "phone", "method", "order"), w.send(objects[0], "fridge")} {
			c.class = "" // what hosts give to who names none
			w.holds(c)
		}
	}
	for _, f := range w.seen() {
		assert.NotContains(t, f, "dev")
	}
	assert.Equal(t, before, w.Options.Counts.Rewritten.Load())
}

// A host hears of a client's copy only where its tag tells contents apart whatever the class.
func TestCopiesOfClients(t *testing.T) {
	for proof, told := range map[pure.ProofKind]bool{pure.ProofByTag: true, pure.ProofByBody: false} {
		w := newWay(t, proof, false)
		w.joined()
		tag := ""
		for class, told := range map[string]bool{"phone": told, "": true} {
			tag = tagOf(w.bytes(objects[0], "0", class))
			r := w.holds(w.send(objects[0], class, "got", tag))
			assert.Equal(t, told, w.seen()[0]["inm"] == tag, "%d %q", proof, class)
			assert.Equal(t, told, r.Fields["ok304"] != "")
		}
		if told { // its own variant is another by now
			w.change("phone")
			w.purge(objects[0])
			assert.Empty(t, w.holds(w.send(objects[0], "phone", "got", tag)).Fields["ok304"])
		}
	}
}

// What was sent by a shard that had not heard of a purge is no evidence for what is after it, whenever it comes back; nor is what was sent
// before the stage was told.
func TestEvidenceOfBeforeAPurge(t *testing.T) {
	for known, same := range map[uint64]bool{4: false, 5: true, 0: false} {
		w := newWay(t, pure.ProofByTag, false)
		in := routing.Request{Object: objects[0], Part: 40}
		for class := range int16(2) {
			v := dispatcher.Variant{Own: class, Asked: class, Declared: true}
			early, _, _ := w.stage.Key(1, &in, classes[class])
			assert.Len(t, w.stage.Purged(900, 5, objects[0], 0), 2, "names by the other classes")
			late, _, _ := w.stage.Key(1, &in, classes[class])
			v.Number = late.Number
			e := dispatcher.Evidence{Asked: class, Host: 1, Known: known, Told: late.Told, Proof: 9}
			if known == 0 {
				e.Known, e.Told = 5, early.Told
				if class > 0 {
					w.stage.Purged(901, 5, objects[0], 0)
				}
			}
			w.stage.Answered(1, &in, v, e)
		}
		joined := false
		for i := range 100 {
			v, _, _ := w.stage.Key(60+float64(i), &in, "phone")
			joined = joined || v.Asked == 0
		}
		assert.Equal(t, same, joined, "known %d", known)
	}
}
