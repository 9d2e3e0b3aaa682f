package routing

import (
	"container/list"
	"fmt"
	"hash/fnv"
	"math"

	"elderwall/core/routing/rendezvous"
	"elderwall/core/routing/sketch"
)

const (
	objectTableSize = 1 << 15 // objects; limits the memory of the table to a few MB

	// sketchBytes is the size of the sketch that counts evicted objects. It holds some 65,000 objects per
	// bucket. A tenth of the objects that one core could be asked for within the window would overfill it.
	sketchBytes = 1 << 21
)

// object is a cacheable object in the table. Caches store each part separately, so each part is a separate
// object.
type object struct {
	key             objectKey
	hash            uint64 // of name and part; places the object in the order of caches
	nameHash        uint64 // of the name alone; places the object in the order of parents
	demand          windowedSum
	listElement     *list.Element
	requestedBefore bool    // it was requested before the current request
	lastRequested   float64 // seconds
	sizeKB          float64 // according to the last answer; 0 if there was none
	cachedAt        *host   // the cache that answered for it last
	cachedUntil     float64 // seconds; until then that cache is assumed to have it

	cacheOrder, parentOrder *rendezvous.Prefix // the first hosts in its rendezvous orders
}

// objectKey identifies an object.
type objectKey struct {
	name string
	part int
}

// cachedBy reports whether a cache is assumed to have the object.
func (o *object) cachedBy(h *host, now float64) bool { return o.cachedAt == h && now < o.cachedUntil }

// objectTable finds objects by name, and evicts the least recently used one when it exceeds its size.
//
// Guards against running full, over a long day, with objects that nobody requests any more, at 360 bytes
// each. Of an idle object only its size and the fact that it was requested still matter, so only these are
// kept.
type objectTable struct {
	byKey        map[objectKey]*object
	byRecency    *list.List // of *object; the most recently used is first
	idleAfter    float64    // seconds without a request after which an object is idle
	idle         *sketch.BoundedMap
	evictedCount *sketch.Sketch // counts requests of evicted objects; nil until the first eviction
}

// newObjectTable returns an empty table. An object is idle once its counts have left the window (one window
// after its last request) and no cache is assumed to have it (one window after its last answer).
func newObjectTable(services []DeliveryService) objectTable {
	maxViewerTimeout := 0.0
	for _, s := range services {
		maxViewerTimeout = math.Max(maxViewerTimeout, s.ViewerTimeout)
	}
	return objectTable{
		byKey:     map[objectKey]*object{},
		byRecency: list.New(),
		idleAfter: (windowBuckets+1)*bucketSpan + maxViewerTimeout,
		idle:      sketch.NewBoundedMap(objectTableSize),
	}
}

// touch returns the entry of an object that is being requested, and creates it if needed. sizeKB is the
// demand of one request, in KB.
func (t *objectTable) touch(now float64, name string, part int, sizeKB float64) *object {
	key := objectKey{name, part}
	o := t.byKey[key]
	if o != nil {
		o.requestedBefore = true
		t.byRecency.MoveToFront(o.listElement)
	} else {
		o = t.insert(now, key, sizeKB)
	}
	o.lastRequested = now
	t.retireIdle(now)
	if t.evictedCount != nil {
		t.evictedCount.Add(now, o.hash)
	}
	t.evict()
	return o
}

// insert adds an object, with what is remembered about it from earlier requests.
func (t *objectTable) insert(now float64, key objectKey, sizeKB float64) *object {
	o := &object{key: key, hash: hashName(fmt.Sprint(key.name, " ", key.part)), nameHash: hashName(key.name)}
	o.listElement = t.byRecency.PushFront(o)
	t.byKey[key] = o
	if o.sizeKB, o.requestedBefore = t.idle.Take(o.hash); !o.requestedBefore {
		t.restoreCounts(now, o, sizeKB)
	}
	return o
}

// restoreCounts gives a new entry the counts that the object had when it was evicted. Guards against catalogs
// far larger than the table, in which objects that are requested now and then would never count as requested
// before.
func (t *objectTable) restoreCounts(now float64, o *object, sizeKB float64) {
	if t.evictedCount == nil {
		return
	}
	var counts [windowBuckets]float64
	o.requestedBefore = t.evictedCount.Buckets(now, o.hash, counts[:]) > 0
	if !o.requestedBefore {
		return
	}
	o.demand.epoch = int(now / bucketSpan)
	for i, n := range counts {
		o.demand.buckets[i] = n * sizeKB
	}
}

// retireIdle moves idle objects from the table to the compact map of idle objects, and forgets the oldest of
// these if both together exceed the size.
func (t *objectTable) retireIdle(now float64) {
	for last := t.byRecency.Back(); last != nil; last = t.byRecency.Back() {
		o := last.Value.(*object)
		if now-o.lastRequested <= t.idleAfter {
			break
		}
		t.byRecency.Remove(last)
		delete(t.byKey, o.key)
		t.idle.Put(o.hash, o.sizeKB)
	}
	t.idle.Trim(max(0, objectTableSize-t.byRecency.Len()))
}

// evict removes the least recently used object if the table exceeds its size.
func (t *objectTable) evict() {
	if t.byRecency.Len() <= objectTableSize {
		return
	}
	delete(t.byKey, t.byRecency.Remove(t.byRecency.Back()).(*object).key)
	if t.evictedCount == nil {
		t.evictedCount = sketch.New(windowBuckets, bucketSpan, sketchBytes)
	}
}

// hashName returns the hash that places a name in the rendezvous orders.
func hashName(s string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(s))
	return rendezvous.Mix(sum.Sum64())
}
