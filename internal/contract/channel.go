package contract

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Note is one entry of a channel, as a reader is shown it.
type Note struct {
	Key, Writer string
	Number      uint64            // of its writer, from 1
	Late        bool              // told to be older than one of its key that was shown: it is shown, and is not the newest
	After       map[string]uint64 // what its writer had been shown of others, where the order is causal
}

// Channel is a channel at several dispatchers.
type Channel interface {
	// Write has a writer write at a dispatcher.
	Write(at int, n Note) error
	// Read gives what a dispatcher shows a reader since its last Read; told says that there was a gap.
	Read(at int) (shown []Note, told bool)
	// Pass lets some time pass: some of what is on its way comes, in any order.
	Pass(chance *rand.Rand)
	// Settle lets all come that can.
	Settle()
}

// Channels is a channel of one order.
type Channels struct {
	Name    string
	Order   string // latest, key, sender, causal or total
	Gaps    bool   // told; else there are none
	Repeats bool   // allowed
	Make    func(t testing.TB, dispatchers int) Channel
}

const (
	channelSeeds = 20
	dispatchers  = 3
	channelNotes = 60
	channelKeys  = 3
)

// reader is what one was shown, for its check.
type reader struct {
	all     []Note
	highest map[string]uint64 // by writer, and by key and writer
	told    bool
}

// Hold runs the suite: writers that write here and there, readers that read now and then.
func (k Channels) Hold(t testing.TB) {
	t.Helper()
	for seed := range uint64(channelSeeds) {
		if k.play(t, seed); t.Failed() {
			return
		}
	}
}

func (k *Channels) play(t testing.TB, seed uint64) {
	chance := rand.New(rand.NewPCG(seed, 9))
	c := k.Make(t, dispatchers)
	readers := make([]*reader, dispatchers)
	for i := range readers {
		readers[i] = &reader{highest: map[string]uint64{}}
	}
	wrote := map[string]uint64{}
	written := map[string]Note{}
	read := func(at int) {
		notes, told := c.Read(at)
		readers[at].told = readers[at].told || told
		for _, n := range notes {
			k.show(t, readers[at], n, written, seed)
		}
	}
	for range channelNotes {
		at := chance.IntN(dispatchers)
		n := Note{Key: fmt.Sprint("k", chance.IntN(channelKeys)), Writer: fmt.Sprint("w", at)} // who moves is the readers' matter
		if read(at); t.Failed() {
			return
		}
		n.Number = wrote[n.Writer] + 1
		if k.Order == "causal" {
			n.After = map[string]uint64{}
			for w := range wrote {
				n.After[w] = readers[at].highest[w]
			}
		}
		written[fmt.Sprint(n.Writer, n.Number)] = n
		if err := c.Write(at, n); err != nil {
			t.Fatalf("seed %d: a write: %v", seed, err)
		}
		wrote[n.Writer] = n.Number
		c.Pass(chance)
		if read(chance.IntN(dispatchers)); t.Failed() {
			return
		}
	}
	c.Settle()
	for at := range readers {
		if read(at); t.Failed() {
			return
		}
	}
	k.end(t, readers, wrote, seed)
}

// show checks one note as a reader is shown it.
func (k *Channels) show(t testing.TB, r *reader, n Note, written map[string]Note, seed uint64) {
	fail := func(what string) { t.Errorf("seed %d: %s: %+v after %d notes", seed, what, n, len(r.all)) }
	if w, ok := written[fmt.Sprint(n.Writer, n.Number)]; !ok || w.Key != n.Key {
		fail("nobody wrote it")
		return
	}
	both := n.Key + " " + n.Writer
	switch {
	case !k.Repeats && r.has(n):
		fail("it is repeated")
	case r.highest[both] >= n.Number && !k.Repeats && !n.Late:
		fail("its key goes back")
	case (k.Order == "sender" || k.Order == "causal") && r.highest[n.Writer] >= n.Number && !k.Repeats:
		fail("its writer goes back")
	case (k.Order == "sender" || k.Order == "causal") && !k.Gaps && r.highest[n.Writer] != n.Number-1 && !k.Repeats:
		fail("one of its writer's is missing before it")
	}
	if k.Order == "causal" && !k.Gaps {
		for w, number := range n.After {
			if w != n.Writer && r.highest[w] < number {
				fail("what its writer had seen is missing before it")
			}
		}
	}
	r.all = append(r.all, n)
	r.highest[both] = max(r.highest[both], n.Number)
	r.highest[n.Writer] = max(r.highest[n.Writer], n.Number)
}

func (r *reader) has(n Note) bool {
	for _, o := range r.all {
		if o.Writer == n.Writer && o.Number == n.Number {
			return true
		}
	}
	return false
}

// end checks what all were shown when nothing is on its way any more.
func (k *Channels) end(t testing.TB, readers []*reader, wrote map[string]uint64, seed uint64) {
	for at, r := range readers {
		if k.Order == "latest" {
			for _, o := range readers { // the last of each key is one for all
				for key, n := range r.lasts() {
					if other, ok := o.lasts()[key]; !ok || other.Writer != n.Writer || other.Number != n.Number {
						t.Errorf("seed %d: the newest of %s is %v here and %v there", seed, key, n, other)
						return
					}
				}
			}
			continue
		}
		if r.told && !k.Gaps {
			t.Errorf("seed %d: a gap is told where there is to be none", seed)
		}
		if !r.told {
			for w, n := range wrote {
				for i := uint64(1); i <= n; i++ {
					if !r.has(Note{Writer: w, Number: i}) {
						t.Errorf("seed %d: dispatcher %d never showed number %d of %s, and told no gap", seed, at, i, w)
						return
					}
				}
			}
		}
		if k.Order != "total" {
			continue
		}
		for i := range min(len(r.all), len(readers[0].all)) {
			if a, b := r.all[i], readers[0].all[i]; a.Writer != b.Writer || a.Number != b.Number {
				t.Errorf("seed %d: entry %d is one here and another there", seed, i)
				return
			}
		}
	}
}

func (r *reader) lasts() map[string]Note {
	by := map[string]Note{}
	for _, n := range r.all {
		if !n.Late {
			by[n.Key] = n
		}
	}
	return by
}
