package routing_test

import (
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"slices"

	"elderwall/core/routing"
)

// These are the kinds of hosts in the scripted fleet.
const (
	cacheKind = iota
	parentKind
	originKind
)

// These are the first host IDs of each kind.
const (
	firstCacheID  = 1000
	firstParentID = 100_000
	originID      = 200_000
)

// These are properties of the scripted hosts and clients.
const (
	networkDelay      = 0.001 // seconds; one way
	transferRateKB    = 1000  // KB per second of one transfer at full rate
	tinyObjectShare   = 0.05  // share of objects that are too small for their transfer time to show a rate
	checkpointSpan    = 2.0   // seconds between two checkpoints of a run
	impatientShare    = 0.03  // share of requests with a short deadline
	impatientTimeout  = 0.15  // seconds; the time until a short deadline
	goneEarlyShare    = 0.02  // share of clients that may leave before their answer
	streamingShare    = 0.2   // share of successful answers whose first byte is reported
	pauseShare        = 0.05  // share of transfers that are interrupted by a pause
	maxPause          = 0.020 // seconds
	stallTime         = 0.5   // seconds; longer than the latency objectives
	staleShare        = 0.02  // share of hits that are stale
	withdrawnShare    = 0.003 // share of attempts that are withdrawn before any byte was sent
	arrivedLateShare  = 0.003 // share of attempts that reach their host after SendBy
	listFailedShare   = 0.3   // share of polls of the endpoint list that fail
	maxAgeLookupShare = 0.1   // share of requests whose MaxAge is queried and hashed
)

// event is something that happens at a set time in a simulated run. Events at the same time happen in the
// order in which they were scheduled.
type event struct {
	at     float64
	number int
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// scriptedHost is one host of the fleet. A script changes its fields during a run.
type scriptedHost struct {
	endpoint    routing.Endpoint
	slots       int     // number of transfers at full rate; further transfers share these slots
	queue       int     // number of attempts that it accepts; further ones are rejected
	slowness    float64 // multiple of the usual time
	silent      bool    // accepts connections but never responds
	unreachable bool
	failShare   float64            // share of answers that are errors
	lostShare   float64            // share of answers whose connection breaks
	stallShare  float64            // share of transfers that stall for stallTime
	stored      map[string]float64 // time at which each object was stored
	filling     map[string]int     // number of fills in progress, by object
	active      int                // attempts in progress at the host, including fills from it
}

// scriptedFleet runs routers against scripted hosts and clients, with one clock and one seed.
type scriptedFleet struct {
	goldenCase
	now      float64
	number   int
	queue    eventQueue
	random   *rand.Rand
	hosts    map[uint32]*scriptedHost
	ids      []uint32 // IDs of the hosts in the order in which they were added
	shards   []*scriptedShard
	services []routing.DeliveryService
	lastID   uint32
	sizes    map[string]float64
	actions  hash.Hash
	record   goldenRecord
	pools    map[uint32]*creditPool
	probes   map[uint32]probeClaim
}

// scriptedRequest is a client's request as the caller of a router tracks it.
type scriptedRequest struct {
	routing.Request
	attempts []*scriptedAttempt
	done     bool
}

type scriptedAttempt struct {
	routing.Attempt
	request   *scriptedRequest
	number    int
	sentAt    float64
	completed bool
	active    []*scriptedHost // hosts at which it is in progress
	fills     *scriptedHost   // host that it fills; nil if it is not a fill
}

func newScriptedFleet(c goldenCase) *scriptedFleet {
	f := &scriptedFleet{
		goldenCase: c, random: rand.New(rand.NewPCG(c.seed, 7)), hosts: map[uint32]*scriptedHost{},
		sizes: map[string]float64{}, actions: sha256.New(), pools: map[uint32]*creditPool{}, probes: map[uint32]probeClaim{},
	}
	f.buildHosts()
	for i := range max(1, c.shards) {
		f.addShard(i)
	}
	return f
}

func (f *scriptedFleet) buildHosts() {
	for i := range f.caches {
		f.addHost(routing.Endpoint{ID: firstCacheID + uint32(i)*7, Zone: 1, Cell: i * f.cells / f.caches, Weight: float64(8 + i%3)})
	}
	// Caches of another zone: no request may be sent there.
	for i := range 3 {
		f.addHost(routing.Endpoint{ID: firstCacheID - 1 - uint32(i), Zone: 0, Cell: i, Weight: 8})
	}
	for i := range f.parents {
		f.addHost(routing.Endpoint{ID: firstParentID + uint32(i), Zone: i % 2, Kind: parentKind, Weight: 40})
	}
	f.addHost(routing.Endpoint{ID: originID, Kind: originKind, Weight: 60})
}

func (f *scriptedFleet) addHost(e routing.Endpoint) {
	e.Phase = routing.Ready
	f.hosts[e.ID] = &scriptedHost{
		endpoint: e, slots: int(e.Weight), queue: int(e.Weight) * 3, slowness: 1,
		stored: map[string]float64{}, filling: map[string]int{},
	}
	f.ids = append(f.ids, e.ID)
}

func (f *scriptedFleet) addShard(index int) {
	s := &scriptedShard{scriptedFleet: f, index: index, requests: map[uint32]*scriptedRequest{}}
	f.shards = append(f.shards, s)
	settings := goldenSettings(f.seed)
	settings.Index = index
	if f.change != nil {
		f.change(&settings)
	}
	if f.goldenCase.shards > 1 {
		settings.Shards, settings.Peers = f.goldenCase.shards, s
	}
	f.services, s.noteDetail = settings.Services, settings.NoteDetail
	s.router = routing.New(settings, f.now, s)
	if !settings.PollEndpoints {
		s.updateEndpoints(routing.ListComplete, f.endpoints())
	}
}

func (f *scriptedFleet) endpoints() (list []routing.Endpoint) {
	for _, id := range f.ids {
		list = append(list, f.hosts[id].endpoint)
	}
	return list
}

// run runs the whole case and returns its record.
func (f *scriptedFleet) run() goldenRecord {
	for _, step := range f.script {
		f.schedule(step.at, func() { step.do(f) })
	}
	f.scheduleRequest()
	f.scheduleCheckpoint()
	for len(f.queue) > 0 {
		next := heap.Pop(&f.queue).(event)
		if next.at > f.seconds {
			break
		}
		f.now = next.at
		next.do()
	}
	for _, s := range f.shards {
		s.router.FinishAll(f.seconds)
	}
	f.record.Hash = hex.EncodeToString(f.actions.Sum(nil))
	return f.record
}

func (f *scriptedFleet) schedule(at float64, do func()) {
	f.number++
	heap.Push(&f.queue, event{at, f.number, do})
}

func (f *scriptedFleet) scheduleRequest() {
	wait := f.random.ExpFloat64() / f.rate
	f.schedule(f.now+wait, func() {
		f.request()
		f.scheduleRequest()
	})
}

func (f *scriptedFleet) scheduleCheckpoint() {
	f.schedule(f.now+checkpointSpan, func() {
		for _, s := range f.shards {
			for _, id := range []uint32{0, firstCacheID, firstParentID, originID} {
				inFlight, rejections := s.router.QuotaUsage(id)
				s.hash('Q', id, inFlight, rejections)
			}
		}
		f.record.Checkpoints = append(f.record.Checkpoints, hex.EncodeToString(f.actions.Sum(nil)[:4]))
		f.scheduleCheckpoint()
	})
}

// chance returns true with the given probability.
func (f *scriptedFleet) chance(share float64) bool { return f.random.Float64() < share }

// object draws an object name. A few names are popular, and most names of a large catalog occur once.
func (f *scriptedFleet) object() string {
	if f.chance(f.hotShare) {
		return "hot"
	}
	return fmt.Sprint("object-", int(float64(f.objects)*math.Pow(f.random.Float64(), f.skew)))
}

// size returns the size of an object in KB, which is drawn when the object first occurs.
func (f *scriptedFleet) size(object string) float64 {
	kb, known := f.sizes[object]
	if !known {
		kb = 2 + f.random.ExpFloat64()*20
		if f.chance(tinyObjectShare) {
			kb = 0.045 + 0.01*f.random.Float64()
		}
		f.sizes[object] = kb
	}
	return kb
}

// request submits a client's request to one of the shards.
func (f *scriptedFleet) request() {
	f.lastID++
	object, service := f.object(), f.random.IntN(len(f.services))
	s := f.shards[f.random.IntN(len(f.shards))]
	deadline := f.now + f.services[service].ViewerTimeout
	if f.chance(impatientShare) {
		deadline = f.now + impatientTimeout
	}
	r := &scriptedRequest{Request: routing.Request{
		ID: f.lastID, Service: service, Object: object, Group: len(object) % 3, Part: f.random.IntN(2), Deadline: deadline,
	}}
	if f.requestsTellSize {
		r.SizeKB = f.size(object)
	}
	s.requests[r.ID] = r
	s.call(func(now float64) { s.router.HandleRequest(now, r.Request) })
	if f.chance(maxAgeLookupShare) {
		s.hash('M', s.router.MaxAge(f.now, r.ID))
	}
	gone := deadline
	if f.chance(goneEarlyShare) {
		gone = f.now + f.random.Float64()*0.3
	}
	f.schedule(gone, func() { s.clientGone(r) })
}

// announceChanges changes some hosts and sends their new list entries to all shards.
func (f *scriptedFleet) announceChanges(ids []uint32, change func(h *scriptedHost)) {
	var list []routing.Endpoint
	for _, id := range ids {
		change(f.hosts[id])
		list = append(list, f.hosts[id].endpoint)
	}
	for _, s := range f.shards {
		s.updateEndpoints(routing.ListChanges, list)
	}
}

// cacheIDs returns the IDs of the caches in the routers' zone with positions in [from, to), in order of ID.
func (f *scriptedFleet) cacheIDs(from, to int) []uint32 {
	var ids []uint32
	for _, id := range f.ids {
		if id >= firstCacheID && id < firstParentID {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[min(from, len(ids)):min(to, len(ids))]
}
