package variant_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/variant"
)

// The checker simulates an origin that remembers every content of each class of each object, hosts that keep
// copies by key and drop them some time after a purge, and dispatchers with one module each, whose shards receive
// purges late and at different times. The dispatchers exchange facts over a network that loses, repeats and delays
// messages and is partitioned, so that facts arrive before and after their purge. The checker shares no code with
// the module and judges only the bytes that clients get.
type originState struct {
	from, purge, version uint64 // from is in ms
	content              [3]uint64
}

type hostCopy struct {
	content, version, purge, until uint64
}

type scenario struct {
	name        string
	versions    bool
	evidenceTTL float64
	witnesses   int
	lyingHost   bool // host 0 often reports the tag of class 0 for every class
	tableSize   int
	stamps      bool
	hostsPerKey int // hosts that a key may go to, starting at the first in its order; 0 means 3
}

type event struct {
	at float64
	do func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

const (
	objects, hosts, dispatchers, shards = 8, 4, 3, 2
	maxCopyLifetime                     = 15.0 // seconds that a host keeps a copy at most
	maxTransit                          = 4.0  // seconds between a forward and its answer at most
)

type world struct {
	scenario
	rng         *rand.Rand
	now         float64
	queue       events
	origin      [objects][]originState
	hosts       [hosts]map[uint64]hostCopy
	modules     [dispatchers]*variant.Module
	knownPurge  [dispatchers][objects]uint64         // newest purge that a dispatcher knows
	shardPurge  [dispatchers][shards][objects]uint64 // newest purge that a shard knows; hosts may not answer its forwards from older copies
	lastEvent   [dispatchers]uint64                  // number of the newest event
	issuers     [2]*variant.StampIssuer              // dispatchers may ask different issuers, and each issuer may be replaced by a new one
	issuerIDs   uint64
	shardEvent  [dispatchers][shards]uint64   // newest event up to which a shard received all events
	shardQueue  [dispatchers][shards][]uint64 // events that a shard received out of order
	partitioned int                           // dispatcher that is partitioned off, -1 for none
	purges      uint64
	nextContent uint64

	gets, rewritten, retried, prevented, alternates, wrong int
	firstFailure                                           string
}

func (w *world) after(s float64, do func()) { heap.Push(&w.queue, event{w.now + s, do}) }

func (w *world) object(o int) variant.Object {
	return variant.Object{ID: uint64(o) + 1, Group: o % 2}
}

func (w *world) newContent() uint64 { w.nextContent++; return w.nextContent }

// change creates a new state of an object. All variants change, or one changes, or one becomes equal to another.
func (w *world) change(o int, purge bool) {
	s := w.origin[o][len(w.origin[o])-1]
	s.from = uint64(w.now * 1000)
	s.version++
	switch c := w.rng.IntN(3); w.rng.IntN(3) {
	case 0:
		x := w.newContent()
		s.content = [3]uint64{x, x, x}
		if w.rng.IntN(2) == 0 {
			s.content[c] = w.newContent()
		}
	case 1:
		s.content[c] = w.newContent()
	default:
		s.content[c] = s.content[(c+1)%3]
	}
	if purge {
		w.purges = max(w.purges+1, s.from)
		s.purge = w.purges
		for h := range w.hosts {
			w.after(w.rng.Float64()*3, func() {
				for c := range 3 {
					if key := variant.CacheKey(w.object(o).ID, c); w.hosts[h][key].purge < s.purge {
						delete(w.hosts[h], key)
					}
				}
			})
		}
	}
	w.origin[o] = append(w.origin[o], s)
	if purge {
		for d := range w.modules {
			w.announcePurge(d, o, s.purge)
		}
	}
}

func (w *world) announcePurge(d, o int, purge uint64) {
	w.after(w.rng.Float64()*3, func() {
		if w.partitioned == d {
			w.after(1, func() { w.announcePurge(d, o, purge) })
			return
		}
		w.lastEvent[d]++
		event := w.lastEvent[d]
		first := w.rng.IntN(shards) // the other shards pause for a while
		w.receivePurge(d, first, o, purge, event)
		for s := range shards {
			if lag := w.rng.Float64() * w.rng.Float64() * 10; s != first {
				w.after(lag, func() { w.receivePurge(d, s, o, purge, event) })
			}
		}
	})
}

func (w *world) receivePurge(d, s, o int, purge, event uint64) {
	w.knownPurge[d][o], w.shardPurge[d][s][o] = max(w.knownPurge[d][o], purge), max(w.shardPurge[d][s][o], purge)
	w.modules[d].RecordPurge(0, w.object(o).ID, -1, purge, event)
	w.shardQueue[d][s] = append(w.shardQueue[d][s], event)
	slices.Sort(w.shardQueue[d][s])
	for len(w.shardQueue[d][s]) > 0 && w.shardQueue[d][s][0] == w.shardEvent[d][s]+1 { // a shard processes events in order
		w.shardEvent[d][s], w.shardQueue[d][s] = w.shardEvent[d][s]+1, w.shardQueue[d][s][1:]
	}
}

func (w *world) answer(host, o, c int, minPurge uint64) hostCopy {
	key := variant.CacheKey(w.object(o).ID, c)
	s := w.origin[o][len(w.origin[o])-1]
	x, ok := w.hosts[host][key]
	if !ok || float64(x.until) < w.now*1000 || x.purge < minPurge {
		x = hostCopy{s.content[c], s.version, s.purge, uint64((w.now + maxCopyLifetime*w.rng.Float64()) * 1000)}
		w.hosts[host][key] = x
	}
	return x
}

// forward requests an object from a host by a class. It passes on the answer, labeled with its generation, and the
// host's copy.
func (w *world) forward(d, o, c, alternate int, then func(a variant.Answer, x hostCopy)) {
	s, began := w.rng.IntN(shards), w.now
	purgeFloor, known, minPurge := w.modules[d].PurgeFloor(w.object(o)), w.shardEvent[d][s], w.shardPurge[d][s][o]
	host := int((variant.PlacementKey(uint64(o), c, alternate)%hosts + uint64(w.rng.IntN(w.hostsPerKey))) % hosts)
	w.after(w.rng.Float64()*maxTransit/2, func() {
		x := w.answer(host, o, c, minPurge)
		contentHash := x.content
		if w.lyingHost && host == 0 && w.rng.IntN(3) > 0 {
			s := w.origin[o][len(w.origin[o])-1]
			contentHash = s.content[0]
			if s.version != x.version { // it lies only about the current version
				contentHash = x.content
			}
		}
		a := variant.Answer{Object: w.object(o), Class: c, Alternate: alternate, Host: uint32(host), ContentHash: contentHash, Generation: variant.Generation{Purge: purgeFloor}, KnownEvent: known, SentAt: began}
		if w.versions {
			a.Generation.Version = x.version
		}
		delay := w.rng.Float64() * maxTransit / 2
		if w.stamps && w.rng.IntN(6) == 0 { // the reader pauses
			delay += 100
		}
		w.after(delay, func() {
			w.modules[d].RecordAnswer(w.now, a)
			for other := range 3 { // the answer may also be for a coalesced GET of another class
				if other != c && w.modules[d].MayServe(w.now, other, variant.Key{Class: c}, &a) && !w.isCorrect(d, o, other, x) {
					w.recordFailure("%.1f s: dispatcher %d, object %d, class %d by class %d: content %d of version %d", w.now, d, o, other, c, x.content, x.version)
				}
			}
			then(a, x)
		})
	})
}

func (w *world) recordFailure(f string, a ...any) {
	if w.wrong++; w.firstFailure == "" {
		w.firstFailure = fmt.Sprintf(f, a...)
	}
}

func (w *world) get(d, o, c int) {
	w.gets++
	k := w.modules[d].Key(w.now, w.object(o), c)
	if k.Alternate > 0 {
		w.alternates++
	}
	w.forward(d, o, k.Class, k.Alternate, func(a variant.Answer, x hostCopy) {
		if k.Class == c {
			return
		}
		if !w.modules[d].MayServe(w.now, c, k, &a) {
			w.retried++
			if !w.isCorrect(d, o, c, x) {
				w.prevented++
			}
			w.forward(d, o, c, 0, func(variant.Answer, hostCopy) {})
			return
		}
		w.rewritten++
		if !w.isCorrect(d, o, c, x) {
			w.recordFailure("%.1f s: dispatcher %d, object %d, class %d by key %+v: content %d of version %d", w.now, d, o, c, k, x.content, x.version)
		}
	})
}

// isCorrect reports whether bytes that came by another class's key were the content of the client's own class.
// With versions, they must be of that version. Otherwise they must have been current at some time since the newest
// purge that this dispatcher knows, and no longer ago than the lifetimes of evidence and of a host's copy allow.
func (w *world) isCorrect(d, o, c int, x hostCopy) bool {
	for n, s := range w.origin[o] {
		ended := math.Inf(1)
		if n+1 < len(w.origin[o]) {
			ended = float64(w.origin[o][n+1].from) / 1000
		}
		if s.content[c] != x.content || s.purge < w.knownPurge[d][o] {
			continue
		}
		if w.versions && s.version == x.version || !w.versions && ended >= w.now-w.evidenceTTL-maxCopyLifetime-2*maxTransit {
			return true
		}
	}
	return false
}

// requestStamp makes a dispatcher request a stamp from any issuer, with any delay.
func (w *world) requestStamp(d int) {
	sentAt, g, maxDelay := w.now, min(w.rng.IntN(3), 1), 1+79*float64(w.rng.IntN(3)/2)
	w.after(w.rng.Float64()*maxDelay, func() {
		if w.issuers[g] == nil || w.rng.IntN(40) == 0 {
			w.issuerIDs++
			w.issuers[g] = variant.NewStampIssuer(w.issuerIDs)
		}
		for range 1 + w.rng.IntN(1+g*20) { // one of the issuers has issued many more stamps
			w.issuers[g].Next()
		}
		b := w.issuers[g].Next()
		w.after(w.rng.Float64()*maxDelay, func() { w.modules[d].RecordStamp(sentAt, w.now, b) })
	})
}

// sendFacts sends a dispatcher's waiting facts to the others.
func (w *world) sendFacts(d int) {
	maxDelay := 30.0
	if w.stamps {
		maxDelay = 90
	}
	for _, f := range w.modules[d].Facts(16) {
		b := variant.EncodeFact(&f)
		for p := range w.modules {
			for copies := w.rng.IntN(3); p != d && copies > 0; copies-- {
				w.after(w.rng.Float64()*w.rng.Float64()*maxDelay, func() { w.deliver(d, p, b) })
			}
		}
	}
}

// deliver makes a dispatcher learn a fact of another one, unless one of them is partitioned off.
func (w *world) deliver(from, to int, fact []byte) {
	if w.partitioned == from || w.partitioned == to {
		return
	}
	f, err := variant.DecodeFact(fact)
	if err == nil {
		w.modules[to].Learn(w.now, []variant.Fact{f})
	}
}

func play(t *testing.T, m scenario, seed uint64) *world {
	w := &world{scenario: m, now: 1, rng: rand.New(rand.NewPCG(seed, 1)), partitioned: -1} // a forward that began at 0 would count as one without a time
	if w.hostsPerKey == 0 {
		w.hostsPerKey = 3
	}
	for o := range w.origin {
		x := w.newContent()
		w.origin[o] = []originState{{version: 1, content: [3]uint64{x, x, x + 1000000*uint64(o%2)}}}
	}
	for h := range w.hosts {
		w.hosts[h] = map[uint64]hostCopy{}
	}
	for d := range w.modules {
		s := variant.Settings{MaxObjects: m.tableSize, Seed: seed + uint64(d), Self: strconv.Itoa(d), Services: []variant.Service{{
			Classes: []string{"a", "b", "c"}, Proof: variant.ProofByTag, Witnesses: m.witnesses, Idempotent: true, EvidenceTTL: m.evidenceTTL,
		}}}
		var err error
		w.modules[d], err = variant.New(s)
		require.NoError(t, err)
	}
	var gets, changes, facts, partitions func()
	gets = func() {
		w.get(w.rng.IntN(dispatchers), min(w.rng.IntN(objects), w.rng.IntN(objects)), w.rng.IntN(3))
		w.after(w.rng.ExpFloat64()*0.05, gets)
	}
	changes = func() {
		// With an infinite EvidenceTTL, the operator declares that contents change with purges only.
		w.change(w.rng.IntN(objects), math.IsInf(m.evidenceTTL, 1) || w.rng.IntN(3) == 0)
		w.after(w.rng.ExpFloat64()*8, changes)
	}
	facts = func() { w.sendFacts(w.rng.IntN(dispatchers)); w.after(w.rng.ExpFloat64()*0.3, facts) }
	partitions = func() { w.partitioned = w.rng.IntN(dispatchers+2) - 2; w.after(5+w.rng.Float64()*30, partitions) }
	stampRequests := func() {}
	if m.stamps {
		stampRequests = func() { w.requestStamp(w.rng.IntN(dispatchers)); w.after(w.rng.ExpFloat64(), stampRequests) }
	}
	for _, f := range []func(){gets, changes, facts, partitions, stampRequests} {
		f()
	}
	for w.now < 200 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return w
}

var scenarios = []scenario{
	{name: "versions", versions: true, witnesses: 1, tableSize: 64},
	{name: "versions, two witnesses, one host lies", versions: true, witnesses: 2, lyingHost: true, tableSize: 64},
	{name: "versions, small table", versions: true, witnesses: 1, tableSize: 6},
	{name: "purges only", evidenceTTL: math.Inf(1), witnesses: 1, tableSize: 64},
	{name: "purges only, small table", evidenceTTL: math.Inf(1), witnesses: 1, tableSize: 6},
	{name: "purges only, two witnesses", evidenceTTL: math.Inf(1), witnesses: 2, tableSize: 64},
	{name: "versions, two witnesses, one host per key, one host lies", versions: true, witnesses: 2, lyingHost: true, tableSize: 64, hostsPerKey: 1},
	{name: "purges only, three witnesses, one host per key", evidenceTTL: math.Inf(1), witnesses: 3, tableSize: 64, hostsPerKey: 1},
	{name: "unannounced changes, two witnesses, one host per key", evidenceTTL: 20, witnesses: 2, tableSize: 64, hostsPerKey: 1},
	{name: "unannounced changes, stamps", evidenceTTL: 8, witnesses: 1, tableSize: 64, stamps: true},
	{name: "unannounced changes, stamps, two witnesses, one host per key", evidenceTTL: 20, witnesses: 2, tableSize: 64, hostsPerKey: 1, stamps: true},
	{name: "unannounced changes", evidenceTTL: 20, witnesses: 1, tableSize: 64},
}

func schedules(n int) int {
	if s, err := strconv.Atoi(os.Getenv("ELDERWALL_SCHEDULES")); err == nil {
		return s
	}
	return n
}

// TestClientsNeverGetWrongBytes plays random schedules of each scenario and requires that no client gets bytes of
// another content. It guards against joins that outlast a change of one variant.
func TestClientsNeverGetWrongBytes(t *testing.T) {
	for _, m := range scenarios {
		t.Run(m.name, func(t *testing.T) {
			var gets, rewritten, retried, prevented int
			for seed := range uint64(schedules(12)) {
				w := play(t, m, seed)
				require.Zero(t, w.wrong, "wrong bytes in schedule %d: %s", seed, w.firstFailure)
				gets, rewritten, retried, prevented = gets+w.gets, rewritten+w.rewritten, retried+w.retried, prevented+w.prevented
			}
			assert.Greater(t, float64(rewritten)/float64(gets), 0.01)
			t.Logf("of %d GETs %.3f were served correctly by another class's key; %.4f were requested again, of which %.4f would have been wrong",
				gets, float64(rewritten)/float64(gets), float64(retried)/float64(gets), float64(prevented)/float64(gets))
		})
	}
	t.Run("one host lies and one witness is enough", func(t *testing.T) { // this must fail, which is why a service can ask for several witnesses
		wrong := 0
		for seed := range uint64(12) {
			wrong += play(t, scenario{versions: true, witnesses: 1, lyingHost: true, tableSize: 64}, seed).wrong
		}
		assert.NotZero(t, wrong)
	})
}

var faults = []struct{ name, file, old, new string }{
	{"evidence of an older generation is kept", "evidence.go", "k[j].witnessCount, k[j].disputed, k[j].canonical, k[j].warmFrom, k[j].checks, k[j].exhaustedAlternate = 0, false, -1, -1, 0, 0", "k[j].checks = 0"},
	{"answers of any version are served", "module.go", "return m.entries[i].generation == a.Generation && ", "return "},
	{"only the GET's own class is verified", "module.go", " && m.confirmed(v, by, t) && by.contentHash == a.ContentHash", " && by != nil"},
	{"a contradicting answer is ignored", "evidence.go", "if d.witnessCount > 0 && d.contentHash != a.ContentHash {", "if false {"},
	{"a late answer counts for the new generation", "evidence.go", "if !m.isCurrentAnswer(&a, i) {", "if a.Generation.Purge = m.PurgeFloor(a.Object); false {"},
	{
		"facts older than a purge count", "evidence.go", "!exact || f.Generation.Purge < of.purge {\n\t\t\tcontinue\n\t\t}\n\t\ti := m.claimEntry(m",
		"!exact || of.event == math.MaxUint64 {\n\t\t\tcontinue\n\t\t}\n\t\tf.Generation.Purge = max(f.Generation.Purge, m.PurgeFloor(f.Object))\n\t\ti := m.claimEntry(m",
	},
	{"a witness counts twice", "evidence.go", "if by.host == host {", "if false {"},
	{"a new entry keeps the evidence of the evicted object", "evidence.go", "m.classesOf(i)[j] = class{canonical: -1, lastCanonical: -1, warmFrom: -1}", "_ = j"},
	{"purges of evicted objects are forgotten", "module.go", "		f, covers = m.floorSlot(owner), nil\n", "		if m.find(Object{Service: service, ID: object}) < 0 {\n\t\t\treturn\n\t\t}\n\t\tf, covers = m.floorSlot(owner), nil\n"},
	{
		"answers are labeled with a purge known only from facts", "evidence.go", "i = m.claimEntry(i, a.Object,",
		"if j := m.find(a.Object); j >= 0 {\n\t\ta.Generation.Purge = max(a.Generation.Purge, m.entries[j].generation.Purge)\n\t}\n\ti = m.claimEntry(i, a.Object,",
	},
	{"answers count although the sending shard had not received the purge", "module.go", "return f.event <= a.KnownEvent && f.purge", "return f.purge"},
	{"facts are sent for objects that share a floor", "module.go", "(x.purge < f.purge || f.purge == 0 || x.owner == byObject || x.owner == byGroup) && (y.purge < f.purge || f.purge == 0 || y.owner == byGroup || y.owner == byObject)", "byObject != 1 || byGroup != 1"},
	{"evidence never expires", "evidence.go", "if canExpire(v, m.entries[i].generation) {\n\t\t\tfor w", "if false {\n\t\t\tfor w"},
	{"an alternate placement counts as another witness", "evidence.go", "m.addWitness(v, i, a.Class, a.Host, a.ContentHash, at)", "m.addWitness(v, i, a.Class, a.Host+uint32(a.Alternate)<<8, a.ContentHash, at)"},
	{"facts of unknown age join classes", "evidence.go", "if at, known = m.notBefore(f.Stamp); !m.hasValidEvidence", "if !m.hasValidEvidence"},
	{"stamps of two issuers are compared", "stamps.go", "x.stamp.Issuer == stamp.Issuer && ", ""},
	{"a fact's age starts when the stamp was received", "stamps.go", "at, known = x.sentAt, true", "at, known = x.receivedAt, true"},
	{"any stamp of the issuer bounds a fact's age", "stamps.go", " && x.stamp.Number < stamp.Number", ""},
	{"an answer gets the stamp known at its arrival", "evidence.go", "m.stampRequests.newestAt(a.SentAt)", "m.stampRequests.newestAt(now)"},
	{"the content of an answer is not compared", "module.go", " && d.contentHash == a.ContentHash && m.confirmed(v, by", " && m.confirmed(v, by"},
}

// TestCheckerFindsInjectedFaults puts each fault into the module's source and requires that a test fails. It
// guards against a checker that accepts everything.
func TestCheckerFindsInjectedFaults(t *testing.T) {
	if os.Getenv("ELDERWALL_FAULT") != "" {
		t.Skip("this run has an injected fault")
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			here, err := filepath.Abs(f.file)
			require.NoError(t, err)
			b, err := os.ReadFile(here)
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(b), f.old), "the code that the fault replaces must occur once")
			dir := t.TempDir()
			faulty, overlay := filepath.Join(dir, "faulty.go"), filepath.Join(dir, "overlay.json")
			require.NoError(t, os.WriteFile(faulty, []byte(strings.Replace(string(b), f.old, f.new, 1)), 0o600))
			require.NoError(t, os.WriteFile(overlay, fmt.Appendf(nil, `{"Replace":{%q:%q}}`, here, faulty), 0o600))
			run := exec.Command("go", "test", "-vet=off", "-count=1", "-failfast", "-overlay", overlay, "-run", "TestClientsNeverGetWrongBytes|TestEveryEventOrder|TestEvictedObjectsKeepTheirPurges|TestSharedFloors|TestStamps", ".")
			run.Env = append(os.Environ(), "ELDERWALL_FAULT=1", "ELDERWALL_SCHEDULES=12")
			out, err := run.CombinedOutput()
			assert.Error(t, err, "the tests did not find the fault")
			assert.Contains(t, string(out), "--- FAIL: Test", "%s", out)
			for l := range strings.Lines(string(out)) {
				if strings.Contains(l, "wrong bytes") {
					t.Log(strings.TrimSpace(l))
				}
			}
		})
	}
}

// orders calls do with every permutation of the numbers below events that begins with done.
func orders(events int, done []int, do func(order []int)) {
	if len(done) == events {
		do(done)
		return
	}
	for e := range events {
		if !slices.Contains(done, e) {
			orders(events, append(done[:len(done):len(done)], e), do)
		}
	}
}

// pairWorld is two dispatchers that request one object of two classes.
type pairWorld struct {
	m              [2]*variant.Module
	o              variant.Object
	versions       bool
	content        [2]uint64
	version, purge uint64
	known          [2]uint64
	facts          []variant.Fact
}

func newPairWorld(versions bool) *pairWorld {
	w := &pairWorld{o: variant.Object{ID: 5}, versions: versions, content: [2]uint64{1, 1}, version: 1}
	for d := range w.m {
		w.m[d], _ = variant.New(variant.Settings{MaxObjects: 4, Self: strconv.Itoa(d), Services: []variant.Service{{
			Classes: []string{"a", "b"}, Proof: variant.ProofByTag, Witnesses: 1, Idempotent: true, EvidenceTTL: math.Inf(1),
		}}})
	}
	return w
}

func (w *pairWorld) answer(d, c int) variant.Answer {
	g := variant.Generation{Purge: w.m[d].PurgeFloor(w.o)}
	if w.versions {
		g.Version = w.version
	}
	return variant.Answer{Object: w.o, Class: c, Host: uint32(c), ContentHash: w.content[c], Generation: g, KnownEvent: w.known[d]}
}

// do performs an event. earlyAnswer is an answer whose forward began before all events.
func (w *pairWorld) do(now float64, event int, earlyAnswer variant.Answer) {
	switch event {
	case 0, 1, 2:
		w.m[event/2].RecordAnswer(now, w.answer(event/2, event%2))
	case 3:
		w.m[0].RecordAnswer(now, earlyAnswer)
	case 4: // only class b changes; each dispatcher receives the purge later
		w.content[1], w.version, w.purge = 2, 2, 1
	case 5, 6:
		if d := event - 5; w.purge > 0 {
			w.known[d] = w.purge
			w.m[d].RecordPurge(0, w.o.ID, -1, w.purge, w.purge)
		}
	case 7:
		w.facts = append(append(w.facts, w.m[0].Facts(9)...), w.m[1].Facts(9)...)
		w.m[0].Learn(now, w.facts)
		w.m[1].Learn(now, w.facts)
	}
}

// isCorrect reports whether dispatcher d may serve an answer to a client of class c.
func (w *pairWorld) isCorrect(d, c int, a variant.Answer) bool {
	truth := map[[2]uint64]uint64{{1, 0}: 1, {1, 1}: 1, {2, 0}: 1, {2, 1}: 2} // content by version and class
	correct := truth[[2]uint64{w.version, uint64(c)}] == a.ContentHash
	if !w.versions && w.known[d] < w.purge { // the answer may be of the older generation
		correct = correct || truth[[2]uint64{1, uint64(c)}] == a.ContentHash
	}
	return correct
}

// TestEveryEventOrder plays every order of eight events at two dispatchers with two classes: answers whose
// forwards began before or after a purge, a change of one class, and facts delivered at any time. After each event
// it judges every answer that MayServe allows.
func TestEveryEventOrder(t *testing.T) {
	const events = 8
	orderCount := 0
	for _, versions := range []bool{true, false} {
		orders(events, nil, func(order []int) {
			orderCount++
			w := newPairWorld(versions)
			earlyAnswer := w.answer(0, 1) // its forward began before all events; it arrives as event 3
			for n, e := range order {
				now := float64(n + 1)
				w.do(now, e, earlyAnswer)
				for d := range w.m {
					for c := range 2 {
						a := w.answer(d, 1-c)
						if w.m[d].MayServe(now, c, variant.Key{Class: 1 - c}, &a) {
							require.True(t, w.isCorrect(d, c, a), "wrong bytes in order %v at %d, dispatcher %d, class %d, versions %v", order, n, d, c, versions)
						}
					}
				}
			}
		})
	}
	assert.Equal(t, 80640, orderCount)
}

// presumptionCounts counts the results of GETs with a presumption.
type presumptionCounts struct {
	wrong, presumed, checks, gets int
	estimated                     float64 // sum of the estimated risks
}

// play requests both classes of many objects, some of which differ between the classes.
func (p *presumptionCounts) play(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	differingShare := rng.Float64() // uniformly distributed, as the rule of succession assumes
	m, err := variant.New(variant.Settings{MaxObjects: 1 << 12, Seed: seed, Self: "x", Services: []variant.Service{{
		Classes: []string{"a", "b"}, Proof: variant.ProofByTag, Witnesses: 1, Idempotent: true, Presumption: &variant.Presumption{MinObjects: 5, MinCheckShare: 0.05},
	}}})
	require.NoError(t, err)
	for n := range uint64(400) {
		o := variant.Object{ID: n + 1}
		differs := rng.Float64() < differingShare
		if chance := m.PresumptionRisk(0, 0); chance > 0 { // each object that gets a new presumption
			p.estimated += chance
			p.presumed++
			if differs {
				p.wrong++
			}
		}
		for c := range 2 {
			k := m.Key(float64(n), o, c)
			p.gets++
			if k.Check {
				p.checks++
			}
			contentHash := n + 1
			if k.Class == 1 && differs {
				contentHash += 1 << 20
			}
			m.RecordAnswer(float64(n), variant.Answer{Object: o, Class: k.Class, ContentHash: contentHash, Generation: variant.Generation{Version: 1}})
		}
	}
}

// TestPresumptionRiskMatchesErrors compares the measured share of wrong presumptions with PresumptionRisk.
func TestPresumptionRiskMatchesErrors(t *testing.T) {
	const seeds = 1000
	var p presumptionCounts
	for seed := range uint64(seeds) {
		p.play(t, seed)
	}
	presumed := float64(p.presumed)
	t.Logf("presumed %d, wrong %.4f, estimated %.4f; checks %.3f of GETs", p.presumed, float64(p.wrong)/presumed, p.estimated/presumed, float64(p.checks)/float64(p.gets))
	require.Greater(t, p.presumed, 1000)
	assert.InDelta(t, p.estimated/presumed, float64(p.wrong)/presumed, 0.02)
	assert.NotZero(t, p.checks)
}
