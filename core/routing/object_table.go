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
	objectTableSize = 1 << 15 // objects; bounds the table to a few MB

	// sketchBytes is the size of the counts of objects that the table has evicted: some 65,000 by bucket,
	// which a tenth of those that a core could be asked for in the window overfill.
	sketchBytes = 1 << 21
)

// object is a cacheable object in the table. Caches keep each part by itself, so each part is an object here.
type object struct {
	key             objectKey
	hash            uint64 // of name and part, for the order of caches
	nameHash        uint64 // of the name alone, for the order of parents
	demand          windowedSum
	listElement     *list.Element
	requestedBefore bool    // it was requested before the current request
	lastRequested   float64 // s
	sizeKB          float64 // by the last answer, 0 before
	cachedAt        *host   // the cache that answered it last
	cachedUntil     float64 // s; until when it is thought to have it cached

	cacheOrder, parentOrder *rendezvous.Prefix // the beginnings of its orders of hosts
}

// objectKey names an object.
type objectKey struct {
	name string
	part int
}

// cachedBy reports whether a cache is thought to have the object cached.
func (o *object) cachedBy(h *host, now float64) bool { return o.cachedAt == h && now < o.cachedUntil }

// objectTable finds objects by name and evicts the least recently used ones beyond its size.
//
// Guards against a long day on which objects that nobody requests any more fill it, at 360 bytes each: of an
// idle object, of which nothing counts any more but that it was requested, and its size, only these two are
// remembered.
type objectTable struct {
	byKey        map[objectKey]*object
	byRecency    *list.List // of *object, the most recently used first
	idleAfter    float64    // s; without a request for so long an object is idle
	idle         *sketch.BoundedMap
	evictedCount *sketch.Sketch // counts of evicted objects; nil until the table was full
}

// newObjectTable returns an empty table. An object is idle once its counts are over (a window after the last
// request) and it is not taken for cached anywhere (a window after the last answer).
func newObjectTable(services []DeliveryService) objectTable {
	longest := 0.0
	for _, s := range services {
		longest = math.Max(longest, s.ViewerTimeout)
	}
	return objectTable{
		byKey:     map[objectKey]*object{},
		byRecency: list.New(),
		idleAfter: (windowBuckets+1)*bucketSpan + longest,
		idle:      sketch.NewBoundedMap(objectTableSize),
	}
}

// touch returns the object that is requested, with sizeKB as the size of one request.
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

// insert adds an object, with what is remembered of it.
func (t *objectTable) insert(now float64, key objectKey, sizeKB float64) *object {
	o := &object{key: key, hash: hashName(fmt.Sprint(key.name, " ", key.part)), nameHash: hashName(key.name)}
	o.listElement = t.byRecency.PushFront(o)
	t.byKey[key] = o
	if o.sizeKB, o.requestedBefore = t.idle.Take(o.hash); !o.requestedBefore {
		t.restoreCounts(now, o, sizeKB)
	}
	return o
}

// restoreCounts gives a new object the counts that it had when it was evicted. Guards against catalogues far
// larger than the table, where objects that are requested now and then would never be known.
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

// retireIdle moves idle objects out of the table, and forgets the first of those beyond the size.
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

// evict removes the least recently used object if the table is over its size.
func (t *objectTable) evict() {
	if t.byRecency.Len() <= objectTableSize {
		return
	}
	delete(t.byKey, t.byRecency.Remove(t.byRecency.Back()).(*object).key)
	if t.evictedCount == nil {
		t.evictedCount = sketch.New(windowBuckets, bucketSpan, sketchBytes)
	}
}

// hashName places a name in the shared orders.
func hashName(s string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(s))
	return rendezvous.Mix(sum.Sum64())
}
