package replication

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// epochMark is the number up to which a writer's epoch is known.
type epochMark struct{ epoch, number uint64 }

// writerState is what is known of a writer's epochs. All writes of the epochs below floor count as covered, so marks does not list these epochs.
type writerState struct {
	hash  uint64 // of the writer's name
	floor uint64
	marks []epochMark // in ascending order of epoch
}

// vector is a version vector that maintains the sums of its entries, for each bucket of writers and in total. Equal sums mean equal vectors. The
// sums of a member that removed an old epoch differ from those of a member that still has it; their entries are compared until both removed it.
type vector struct {
	writers map[string]*writerState
	sums    [bucketCount]uint64
	sum     uint64
}

func newVector() *vector { return &vector{writers: map[string]*writerState{}} }

func bucketOf(name string) byte { return byte(xxhash.Sum64String(name) >> 56) }

// mix is the bit mixer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (w *writerState) startsAtFloor() bool {
	return w.floor > 0 && len(w.marks) > 0 && w.floor == w.marks[0].epoch
}

func (w *writerState) sum() (s uint64) {
	for _, k := range w.marks {
		s += mix(mix(w.hash+mix(k.epoch)) + k.number)
	}
	if w.startsAtFloor() {
		s += mix(w.hash + mix(w.floor) + 1)
	}
	return s
}

// update applies f, which changes the state of writer w, and adjusts the sums.
func (v *vector) update(w *writerState, f func()) {
	before := w.sum()
	f()
	d := w.sum() - before
	v.sums[w.hash>>56] += d
	v.sum += d
}

// numberAt returns the number up to which an epoch of a writer is covered. It is 0 for an unknown epoch and the highest possible number for an epoch
// below the floor.
func (v *vector) numberAt(name string, epoch uint64) uint64 {
	w := v.writers[name]
	if w == nil {
		return 0
	}
	for i := len(w.marks) - 1; i >= 0; i-- {
		if w.marks[i].epoch == epoch {
			return w.marks[i].number
		}
	}
	if epoch < w.floor {
		return math.MaxUint64
	}
	return 0
}

func (v *vector) covers(d Dot) bool { return v.numberAt(d.Writer, d.WriterEpoch) >= d.Number }

// raise sets the number of a writer's epoch if it is higher than the known one. It reports whether it did.
func (v *vector) raise(name string, epoch, number uint64) bool {
	if number == 0 || v.numberAt(name, epoch) >= number {
		return false
	}
	w := v.writers[name]
	if w == nil {
		w = &writerState{hash: xxhash.Sum64String(name)}
		v.writers[name] = w
	}
	v.update(w, func() {
		i, found := slices.BinarySearchFunc(w.marks, epoch, func(m epochMark, e uint64) int { return cmp.Compare(m.epoch, e) })
		if found {
			w.marks[i].number = number
		} else {
			w.marks = slices.Insert(w.marks, i, epochMark{epoch, number})
		}
	})
	return true
}

// setFloor records that all writes of a writer's epochs below floor count as covered.
func (v *vector) setFloor(w *writerState, floor uint64) { v.update(w, func() { w.floor = floor }) }

// entries returns the sorted entries of the given buckets, or of all buckets if the argument is nil.
func (v *vector) entries(buckets []byte) Vector {
	var in [bucketCount]bool
	for _, b := range buckets {
		in[b] = true
	}
	all := make(Vector, 0, len(v.writers)*(len(buckets)+1)/bucketCount)
	for name, w := range v.writers {
		if buckets != nil && !in[w.hash>>56] {
			continue
		}
		for i, m := range w.marks {
			all = append(all, VectorEntry{name, m.epoch, m.number, i == 0 && w.startsAtFloor()})
		}
	}
	slices.SortFunc(all, func(a, b VectorEntry) int {
		return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.WriterEpoch, b.WriterEpoch))
	})
	return all
}

// vectorFrom builds a vector from a list of entries.
func vectorFrom(all Vector) *vector {
	v := newVector()
	v.join(all)
	return v
}

func (v *vector) join(all Vector) {
	for _, e := range all {
		v.raise(e.Writer, e.WriterEpoch, e.Number)
		if w := v.writers[e.Writer]; e.EarlierComplete && w != nil {
			v.setFloor(w, max(w.floor, e.WriterEpoch))
		}
	}
}

func (v *vector) clone() *vector {
	c := *v
	c.writers = make(map[string]*writerState, len(v.writers))
	for name, w := range v.writers {
		c.writers[name] = &writerState{w.hash, w.floor, slices.Clone(w.marks)}
	}
	return &c
}

// digest returns one byte for each bucket. The salt is drawn anew for each request, so that two buckets that differ and happen to give the same
// byte do so only once.
func (v *vector) digest(salt uint64) []byte {
	d := make([]byte, bucketCount)
	for i, s := range v.sums {
		d[i] = byte(mix(s+salt) >> 56)
	}
	return d
}

// differingBuckets returns the buckets in which another member's digest differs, or all buckets if none does.
func (v *vector) differingBuckets(salt uint64, digest []byte) (differing []byte) {
	for i, d := range v.digest(salt) {
		if d != digest[i] {
			differing = append(differing, byte(i))
		}
	}
	if differing == nil {
		for i := range bucketCount {
			differing = append(differing, byte(i))
		}
	}
	return differing
}

// withBuckets returns a copy of v with the given buckets replaced by those of other. sum is the sum of the other member's whole vector. The result
// is nil if the sums do not prove that the remaining buckets are equal.
func (v *vector) withBuckets(buckets []byte, other *vector, sum uint64) *vector {
	rest := v.sum
	for _, b := range buckets {
		rest -= v.sums[b]
	}
	if rest+other.sum != sum {
		return nil
	}
	c := v.clone()
	for name, w := range c.writers {
		if _, ok := slices.BinarySearch(buckets, byte(w.hash>>56)); ok {
			delete(c.writers, name)
		}
	}
	for name, w := range other.writers {
		c.writers[name] = w
	}
	for _, b := range buckets {
		c.sums[b] = other.sums[b]
	}
	c.sum = sum
	return c
}

// hasEarlierEpochs reports whether v knows the epochs of a writer below floor, which another member no longer lists because they all count as covered
// there. v may have removed them too, or may still list them in its marks. This guards against a newcomer that is given only the later epochs and then
// claims to have all earlier ones.
func (v *vector) hasEarlierEpochs(name string, floor uint64) bool {
	w := v.writers[name]
	return floor == 0 || w != nil && (w.floor >= floor || len(w.marks) > 0 && w.marks[0].epoch < floor)
}

// dominates reports whether v covers everything that o covers.
func (v *vector) dominates(o *vector) bool {
	for name, w := range o.writers {
		if !v.hasEarlierEpochs(name, w.floor) {
			return false
		}
		for _, m := range w.marks {
			if v.numberAt(name, m.epoch) < m.number {
				return false
			}
		}
	}
	return true
}

// intersect returns the vector of what both a and b cover.
func intersect(a, b *vector) *vector {
	c := newVector()
	for name, w := range a.writers {
		for _, m := range w.marks {
			if n := min(m.number, b.numberAt(name, m.epoch)); n > 0 {
				c.raise(name, m.epoch, n)
			}
		}
		if o := b.writers[name]; o != nil {
			for _, m := range o.marks {
				if a.numberAt(name, m.epoch) == math.MaxUint64 { // a no longer lists this epoch because it is below a's floor
					c.raise(name, m.epoch, m.number)
				}
			}
			if k := c.writers[name]; k != nil {
				c.setFloor(k, min(w.floor, o.floor))
			}
		}
	}
	return c
}
