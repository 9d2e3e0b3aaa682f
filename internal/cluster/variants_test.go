package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/variant"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/processes"
)

// fill is what a host keeps of a class: the bytes, and the state of the object that they are of.
type fill struct {
	bytes string
	state int
	at    time.Time
}

// variantRig is dispatchers before a host that fills from an origin which knows what each class of each object was in each state: tv and phone
// begin the same, car is another. Its clients compare every byte with that.
type variantRig struct {
	*memoryRig
	versions bool

	held   sync.Mutex // of what follows
	truth  map[string][]map[string]string
	kept   map[string]fill
	lies   bool
	asked  map[string]int // by object and class
	silent *standin.ChangeLog
	rid    int
}

const declaredVariants = `variants: {services: {segment: {classes: ["tv", "phone", "car"], field: "device", host_field: "dev", proof: "tag", witnesses: %d, fresh: "until purged"}}}`

func vary(t *testing.T, n, witnesses int, versions bool) *variantRig {
	v := &variantRig{versions: versions, truth: map[string][]map[string]string{}, kept: map[string]fill{}, asked: map[string]int{}}
	v.memoryRig = &memoryRig{start(t, n, func(m *memberRig) {
		m.Binary = processes.Build(t, "../..", "faults")
		m.Answer = func(a standin.Ask) string { return v.answer(0, a) }
		for i := range n {
			m.more[i] = `memory: {folder: "memory"}, ` + fmt.Sprintf(declaredVariants, witnesses)
		}
		var err error
		v.silent, err = standin.ListenChangeLog("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(v.silent.Close)
		v.silent.Push(standin.List(1, true, "s-1 "+m.Host.Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING"))
		m.Processes[n-1].Told = v.silent.Address // which tells of no purge
	})}
	return v
}

func (v *variantRig) of(object string) []map[string]string {
	if v.truth[object] == nil {
		v.truth[object] = []map[string]string{{"tv": object + " wide", "phone": object + " wide", "car": object + " narrow"}}
	}
	return v.truth[object]
}

func (v *variantRig) answer(host int, a standin.Ask) string {
	if a.Stop {
		return ""
	}
	v.held.Lock()
	defer v.held.Unlock()
	object, class := a.Fields["path"], a.Fields["dev"]
	v.asked[object+class]++
	key := fmt.Sprint(host, object, class)
	f, ok := v.kept[key]
	if most, err := strconv.Atoi(a.Fields["cap"]); !ok || err == nil && time.Since(f.at) > time.Duration(most)*time.Millisecond {
		states := v.of(object)
		f = fill{states[len(states)-1][class], len(states), time.Now()}
		v.kept[key] = f
	}
	tagged := f.bytes
	if v.lies && host == 0 { // tells the tag of another class for all
		tagged = v.of(object)[f.state-1]["tv"]
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(tagged))
	more := ""
	if v.versions {
		more = fmt.Sprint(",version=", f.state)
	}
	return standin.Answer(a.ID, "HIT", fmt.Sprintf("rev=%016x,detail=mem%s", sum.Sum64(), more), f.bytes)
}

// change makes another state of an object, in which one class has other bytes; the host fills that class anew at its next GET.
func (v *variantRig) change(object, class string) {
	v.held.Lock()
	defer v.held.Unlock()
	states := v.of(object)
	next := map[string]string{}
	for c, was := range states[len(states)-1] {
		next[c] = was
	}
	next[class] = fmt.Sprint(object, " ", class, " ", len(states))
	v.truth[object] = append(states, next)
	for host := range 2 {
		delete(v.kept, fmt.Sprint(host, object, class))
	}
}

// get gets an object for a class at a process so often: how many had the newest bytes of their class, and how many had older ones of it.
// Whatever else came is other: another class's.
func (v *variantRig) get(i, times int, object, class string) (newest, older, other int) {
	c, err := standin.Dial(v.Processes[i].HTTP)
	if err != nil {
		return
	}
	defer func() { _ = c.Conn.Close() }()
	for range times {
		v.rid++
		_ = c.Conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Process(standin.Fields("obj", object, "nth", "0", "device", class, "budget", "4000", "rid", fmt.Sprintf("%016x", v.rid)), "")
		if err != nil {
			return
		}
		r, err := c.Read()
		if err != nil || r.Kind != "served" {
			continue
		}
		v.held.Lock()
		states := v.of(object)
		switch has := func(s map[string]string) bool { return s[class] == r.Body }; {
		case has(states[len(states)-1]):
			newest++
		case slices.ContainsFunc(states, has):
			older++
		default:
			other++
		}
		v.held.Unlock()
	}
	return
}

// by counts requests to the host for an object by a class since it was last asked.
func (v *variantRig) by(object, class string) int {
	v.held.Lock()
	defer v.held.Unlock()
	n := v.asked[object+class]
	delete(v.asked, object+class)
	return n
}

// joined has tv and phone be one for the first object at a process: it has many GETs of phones go by tv.
func (v *variantRig) joined(i int, ask ...string) {
	v.Helper()
	v.Until(soon, fmt.Sprintf("n%d has phones go by tv", i), func() error {
		for _, class := range ask {
			v.get(i, 1, first, class)
		}
		v.by(first, "tv")
		_, _, other := v.get(i, 20, first, "phone")
		require.Zero(v, other)
		n := v.by(first, "tv")
		return processes.When(n < 6, fmt.Errorf("%d of 20", n))
	})
}

const first, second = "00000000000000a1", "00000000000000b2"

// holder is variants that have one fact to tell, one notice, and keep nothing.
type holder struct{ fact []variant.Fact }

func (h *holder) Facts(int) (f []variant.Fact)      { f, h.fact = h.fact, nil; return f }
func (*holder) Learn(float64, []variant.Fact)       {}
func (*holder) Keep(_ *variant.Fact, own bool) bool { return !own }
func (*holder) Peers(int)                           {}
func (*holder) Notices() []variant.Notice           { return []variant.Notice{{Class: 1}} }

// What is told is written; what its teller does not keep is deleted, so that the kind's bound holds.
func TestFactsThatAreOfNoUseAreDeleted(t *testing.T) {
	f := need.Of(Open(Settings{Listen: "127.0.0.1:0", Name: "n0", Memory: &Memory{Horizon: DefaultHorizon, Rate: DefaultRate}}, 1, zerolog.Nop()))(t)
	fact := variant.Fact{Object: variant.Object{ID: 7, Part: 3}, Witness: "n0/1", ContentHash: 5}
	noticed := make(chan variant.Notice, 1)
	f.TakeVariants(&holder{[]variant.Fact{fact}}, func() float64 { return 1 })
	f.Notices(func(all []variant.Notice) {
		select {
		case noticed <- all[0]:
		default:
		}
	})
	f.memory.shares.swept = time.Time{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- f.Serve(ctx) }()
	require.Eventually(t, func() bool {
		return f.memory.status().kind("variants").Tombstones == 1
	}, 10*time.Second, time.Millisecond)
	assert.Equal(t, 1, (<-noticed).Class)
	cancel()
	require.NoError(t, <-ended)
	assert.NoError(t, variant.CheckFact(variant.FactKey(&fact), variant.EncodeFact(&fact)))
	assert.Error(t, variant.CheckFact("another", variant.EncodeFact(&fact)))
}

// A join that one has found is at work at others that never saw one of the classes, also at one that was killed and started.
func TestVariantsAreLearnedFromOthers(t *testing.T) {
	v := vary(t, 3, 1, true)
	v.joined(0, "tv")
	v.joined(1)
	v.Processes[1].Kill()
	v.Processes[1].Start()
	v.joined(1)
	alone, _, _ := v.get(1, 50, second, "phone")
	assert.Equal(t, 50, alone)
	assert.Equal(t, 50, v.by(second, "phone"), "nobody has told of it")
	v.Until(soon, "half go by tv", func() error {
		v.by(first, "phone")
		newest, _, _ := v.get(1, 50, first, "phone")
		require.Equal(t, 50, newest)
		own := v.by(first, "phone")
		return processes.When(own > 25, fmt.Errorf("%d of 50", own))
	})
}

// The origin changes one variant alone: a version or a purge keeps every byte right, also where a change log is silent. With none of them the older
// bytes of the class go on until a check finds out, and nowhere any longer than news travel.
func TestOneVariantChanges(t *testing.T) {
	for _, way := range []string{"version", "purge", "unannounced"} {
		t.Run(way, func(t *testing.T) {
			v := vary(t, 3, 1, way == "version")
			v.joined(0, "tv")
			v.joined(2)
			v.change(first, "phone")
			if way == "purge" {
				before := v.purges()
				v.Changes.Push(fmt.Sprintf(`{"seq":2,"invalidate":{"object":%q,"bucket":17,"time":%d}}`, first, time.Now().UnixMilli()))
				v.Until(soon, "n2 is told", func() error {
					zero, err := v.memberRig.asked(0, AskCounts)
					return processes.When(v.purges() == before || err != nil || zero.Counts["Purges"] == 0, fmt.Errorf("%d %w", v.purges(), err))
				})
				for _, i := range []int{0, 2} {
					newest, older, other := v.get(i, 100, first, "phone")
					assert.Equal(t, []int{100, 0, 0}, []int{newest, older, other}, "n%d", i)
				}
				return
			}
			stale := 0
			for _, i := range []int{0, 2} { // n0 finds out, n2 is told
				v.Until(soon, fmt.Sprintf("n%d has the newest", i), func() error {
					newest, older, other := v.get(i, 20, first, "phone")
					require.Zero(t, other)
					stale += older
					return processes.When(newest < 20, fmt.Errorf("%d", newest))
				})
			}
			t.Logf("%d older bytes of their own class went out", stale)
		})
	}
}

// A split that one part of a cut has seen stands in the other once the cut is healed.
func TestASplitWinsAfterACut(t *testing.T) {
	v := vary(t, 3, 1, false)
	v.joined(0, "tv")
	v.joined(1)
	cut := processes.Fault{What: processes.Cut, A: []int{0}, B: []int{1, 2}}
	v.Begin(cut)
	v.until("the cut is seen", []int{1, 2}, "majority", []int{1, 2})
	v.change(first, "phone")
	v.Until(soon, "n0 finds out", func() error {
		newest, _, _ := v.get(0, 20, first, "phone")
		return processes.When(newest < 20, fmt.Errorf("%d", newest))
	})
	v.End(cut)
	v.whole()
	v.Until(soon, "n1 has learned what n0 has", func() error {
		zero, one := v.memory(0), v.memory(1)
		a, b := zero.kind("variants"), one.kind("variants")
		return processes.When(a.Records == 0 || a != b, fmt.Errorf("%+v %+v", a, b))
	})
	v.by(first, "tv")
	v.Until(soon, "n1 has it from n0", func() error {
		newest, _, _ := v.get(1, 1, first, "phone") // one that goes by its own class tells it anyway: few are asked
		by := v.by(first, "tv")
		return processes.When(newest == 0 || by > 0, fmt.Errorf("%d by tv", by))
	})
	newest, older, other := v.get(1, 30, first, "phone")
	assert.Equal(t, []int{30, 0, 0}, []int{newest, older, other})
	assert.Zero(t, v.by(first, "tv"))
}

// A host that tells one class's tag for all: with one witness wrong bytes go out, with two none.
func TestAHostThatLiesAboutATag(t *testing.T) {
	for witnesses := 1; witnesses <= 2; witnesses++ {
		t.Run(fmt.Sprint(witnesses), func(t *testing.T) {
			v := vary(t, 2, witnesses, true)
			v.held.Lock()
			v.lies = true
			v.held.Unlock()
			honest, err := standin.Listen("127.0.0.1:0", func(a standin.Ask) string { return v.answer(1, a) })
			require.NoError(t, err)
			t.Cleanup(honest.Close)
			hosts := []string{"s-1 " + v.Host.Address + " std SERVING", "s-3 " + honest.Address + " std SERVING"}
			wrong, phones := 0, 0
			for turn := 0; turn < 80 && (wrong == 0 || witnesses == 2) && (phones < 20 || witnesses == 1); turn++ {
				if witnesses == 2 { // else the first host that is honest tells on the other
					v.silent.Push(standin.List(turn+2, true, hosts[turn%2], "s-2 127.0.0.1:1 origin SERVING"))
				}
				for range 5 {
					v.get(1, 2, first, "tv")
					_, _, other := v.get(1, 20, first, "car")
					wrong += other
					v.by(first, "tv")
					_, _, other = v.get(1, 10, first, "phone")
					require.Zero(t, other)
					phones += v.by(first, "tv")
					time.Sleep(20 * time.Millisecond)
				}
			}
			assert.Equal(t, witnesses == 1, wrong > 0, "%d wrong", wrong)
			if witnesses == 2 {
				assert.Positive(t, phones, "phones, of whom both tell the truth, go by tv")
			}
			t.Logf("%d witnesses: %d wrong", witnesses, wrong)
		})
	}
}

// A join that one dispatcher finds out is told in the channel of variants at another; so is the split by what only a third saw.
func TestJoinsAndSplitsAreTold(t *testing.T) {
	v := &variantRig{truth: map[string][]map[string]string{}, kept: map[string]fill{}, asked: map[string]int{}}
	c := newChannelRig(t, 3, 3, func(m *memberRig) {
		m.Answer = func(a standin.Ask) string { return v.answer(0, a) }
		for i := range m.Processes {
			m.more[i] += ", " + fmt.Sprintf(declaredVariants, 1)
		}
	})
	v.memoryRig = &memoryRig{c.memberRig}
	var told atomic.Int32 // 1 for a join, 2 for a split after it
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = c.at(2).Follow(ctx, VariantsChannel, 0, "", func(n channel.Notification) error {
			var j joined
			if n.Kind == channel.EventEntry && json.Unmarshal(n.Entry.Body, &j) == nil && j.Object == first {
				switch {
				case !j.Split && j.Class != j.Standing:
					told.CompareAndSwap(0, 1)
				case j.Split:
					told.CompareAndSwap(1, 2)
				}
			}
			return nil
		})
	}()
	t.Cleanup(func() { end(); <-ended })
	v.joined(0, "tv", "phone")
	c.Until(soon, "the join is told", func() error {
		return processes.When(told.Load() < 1, errors.New("not told"))
	})
	v.change(first, "phone")
	c.Until(soon, "the split is told", func() error {
		_, _, other := v.get(1, 20, first, "phone")
		require.Zero(t, other)
		return processes.When(told.Load() < 2, errors.New("not told"))
	})
}
