package cluster

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/purgefloor"
	"elderwall/core/cluster/replication"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/processes"
)

// channelRig is dispatchers that keep channels; its readers and writers keep what they saw and sent, and share no code with what puts it in order.
type channelRig struct {
	*dutyRig
	live   context.Context
	enough atomic.Bool // writers are to end
}

const declared = `{all_key: {order: "key", wait: "20s"}, all_sender: {order: "sender", wait: "20s"}, all_causal: {order: "causal", wait: "20s"}, all_total: {order: "total", wait: "20s"},
	all_latest: {order: "latest"}, news: {order: "latest"}}`

var orderNames = []string{"key", "sender", "causal", "total"}

func newChannelRig(t *testing.T, n, vote int, change ...func(*memberRig)) *channelRig {
	live, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	c := &channelRig{live: live, dutyRig: duty(t, n, vote, func(m *memberRig) {
		for i := range n {
			m.more[i] += `, memory: {folder: "memory"}, channels: ` + declared
		}
		for _, also := range change {
			also(m)
		}
	})}
	t.Cleanup(end)
	for i := range n {
		c.Until(soon, "all is declared", func() error {
			k, _ := ParseKeys(c.keys[-1])
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			f, err := AskNotes(ctx, c.Processes[i].Fleet, k, channel.OpenRequest{Channel: "all_total"})
			if err == nil {
				_ = f.Close()
			}
			return err
		})
	}
	return c
}

// User is the client that users import: it imports this package, and so is handed in by a test outside of it.
type User struct {
	Follow  func(ctx context.Context, channel string, order channel.Order, position string, take func(channel.Notification) error) (string, error)
	Declare func(ctx context.Context, d channel.Declaration) error
	Writer  func(channel, writer string) func(ctx context.Context, key string, bodies ...string) error
	After   func(channel, writer string, after map[string]uint64) func(ctx context.Context, key string, bodies ...string) error // one that has seen others
}

// UserOf makes one.
var UserOf func(addresses []string, key string) User

func (c *channelRig) at(who ...int) User {
	var all []string
	for _, i := range who {
		all = append(all, c.Processes[i].Fleet)
	}
	return UserOf(all, c.keys[-1]) // the first of them first
}

// got is one entry as a reader saw it.
type got struct {
	key, writer string
	number      uint64
	after       map[string]uint64
	body        string
	late        bool
	place       uint64
}

// seer reads a channel and keeps what it saw.
type seer struct {
	mu    sync.Mutex
	all   []got
	told  []channel.Notification // what isn't an entry
	at    []time.Time
	turns []string // the entry before each change of the declaration
	place string
	end   func()
	ended chan struct{}
}

func (s *seer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

func (s *seer) take(n channel.Notification) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := n.Entry; e != nil && n.Kind == channel.EventEntry {
		s.all = append(s.all, got{e.Key, e.Writer, e.Number, e.After, string(e.Body), n.Late, e.Offset})
		s.at = append(s.at, time.Now())
	} else {
		s.told = append(s.told, n)
		if last := len(s.all) - 1; n.Kind == channel.EventDeclarationChanged && last >= 0 {
			s.turns = append(s.turns, s.all[last].body)
		}
	}
	return nil
}

// see has a reader follow at some processes until the test or it ends.
func (c *channelRig) see(name string, who ...int) *seer {
	return c.reads(func(ctx context.Context, s *seer) { s.place, _ = c.at(who...).Follow(ctx, name, 0, "", s.take) })
}

// reads has a reader do something until the test or it ends.
func (c *channelRig) reads(do func(ctx context.Context, s *seer)) *seer {
	s := &seer{ended: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	s.end = sync.OnceFunc(func() { cancel(); <-s.ended })
	go func() { defer close(s.ended); do(ctx, s) }()
	c.Cleanup(s.end)
	return s
}

// wander has a reader that goes to another process every so often, with nothing but its position.
func (c *channelRig) wander(name string, each time.Duration, who ...int) *seer {
	return c.reads(func(ctx context.Context, s *seer) {
		for i := 0; ctx.Err() == nil; i++ {
			short, stop := context.WithTimeout(ctx, each)
			s.place, _ = c.at(who[i%len(who)], who[(i+1)%len(who)]).Follow(short, name, 0, s.place, s.take)
			stop()
		}
	})
}

// sent is what a writer knows to be acknowledged.
type sent struct {
	writer string
	bodies []string // by number less one
}

// write writes so many messages into a channel, one at a time, going from process to process as it has to.
func (c *channelRig) write(name, writer string, many int, each time.Duration, who ...int) *sent {
	w := &sent{writer: writer}
	p := c.at(who...).Writer(name, writer)
	for i := 0; i < many && !c.enough.Load(); i++ {
		body := fmt.Sprint(writer, " ", i+1)
		ctx, cancel := context.WithTimeout(c.live, soon)
		if err := p(ctx, keyOf(i), body); err != nil {
			if c.live.Err() == nil {
				c.Errorf("%s into %s: %v", body, name, err)
			}
			cancel()
			return w
		}
		cancel()
		w.bodies = append(w.bodies, body)
		time.Sleep(each)
	}
	return w
}

// check tells what is wrong with what a reader saw of what was sent: the order, repeats, and what was acknowledged and never came.
func check(order string, s *seer, all ...*sent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var wrong []error
	bad := func(f string, a ...any) {
		if len(wrong) < 5 {
			wrong = append(wrong, fmt.Errorf(f, a...))
		}
	}
	for _, n := range s.told {
		if n.Kind != channel.EventDeclarationChanged {
			bad("told word %d of %s, from %d to %d", n.Kind, n.Writer, n.From, n.To)
		}
	}
	last, seen, place, newest := map[string]uint64{}, map[string]bool{}, uint64(0), s.newest()
	for i, e := range s.all {
		if seen[e.body] {
			bad("%q came twice, at %d", e.body, i)
		}
		seen[e.body] = true
		lane := e.writer
		if order == "key" || order == "latest" {
			lane += " " + e.key
		}
		if e.number <= last[lane] && (order != "latest" || !e.late) {
			bad("%q after number %d", e.body, last[lane])
		}
		last[lane] = max(last[lane], e.number)
		if order == "causal" {
			for w, n := range e.after {
				if w != e.writer && last[w] < n {
					bad("%q before %s %d", e.body, w, n)
				}
			}
		}
		if order == "total" {
			if e.place <= place {
				bad("%q at place %d after %d", e.body, e.place, place)
			}
			place = e.place
		}
	}
	for _, w := range all {
		for i, b := range w.bodies {
			if e := newest[keyOf(i)]; order == "latest" && (e.body == "" || e.writer == w.writer && e.number < uint64(i+1)) {
				bad("%q was acknowledged, and %q is the newest of its key", b, e.body)
			} else if order != "latest" && !seen[b] {
				bad("%q was acknowledged and did not come", b)
			}
		}
	}
	return errors.Join(wrong...)
}

// newest is the last of each key that was not told to be late.
func (s *seer) newest() map[string]got {
	by := map[string]got{}
	for _, e := range s.all {
		if !e.late {
			by[e.key] = e
		}
	}
	return by
}

func keyOf(i int) string { return fmt.Sprint("k", i%3) }

// agreed waits until readers have what was sent, in its order; with total order all saw one order, with latest all end with the same of each key.
func (c *channelRig) agreed(order string, readers []*seer, all ...*sent) {
	c.Helper()
	for i, s := range readers {
		c.Until(soon, fmt.Sprint("reader ", i, " of ", order, " has all, and in order"), func() error {
			err := check(order, s, all...)
			if order == "total" && !slices.Equal(bodies(readers[0]), bodies(s)) || order == "latest" && !maps.Equal(lasts(readers[0]), lasts(s)) {
				err = errors.Join(err, errors.New("it is another order than the first reader's"))
			}
			return err
		})
	}
}

func lasts(s *seer) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	by := map[string]string{}
	for k, e := range s.newest() {
		by[k] = e.body
	}
	return by
}

func bodies(s *seer) (all []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		all = append(all, e.body)
	}
	return all
}

// A checker that finds nothing wrong would prove nothing.
func TestTheCheckOfChannelsFinds(t *testing.T) {
	e := func(writer string, number, place uint64, after map[string]uint64) got {
		return got{keyOf(int(number) - 1), writer, number, after, fmt.Sprint(writer, " ", number), false, place}
	}
	w := &sent{writer: "a", bodies: []string{"a 1", "a 2"}}
	assert.NoError(t, check("total", &seer{all: []got{e("a", 1, 1, nil), e("a", 2, 2, nil)}}, w))
	assert.NoError(t, check("latest", &seer{all: []got{e("a", 4, 0, nil), e("a", 2, 0, nil)}}, w))
	for name, o := range map[string]struct {
		order string
		s     *seer
	}{
		"lost":      {"key", &seer{all: []got{e("a", 1, 0, nil)}}},
		"twice":     {"key", &seer{all: []got{e("a", 1, 0, nil), e("a", 2, 0, nil), e("a", 2, 0, nil)}}},
		"turned":    {"sender", &seer{all: []got{e("a", 2, 0, nil), e("a", 1, 0, nil)}}},
		"uncaused":  {"causal", &seer{all: []got{e("a", 1, 0, map[string]uint64{"b": 1}), e("a", 2, 0, nil)}}},
		"misplaced": {"total", &seer{all: []got{e("a", 1, 2, nil), e("a", 2, 1, nil)}}},
		"outdated":  {"latest", &seer{all: []got{e("a", 4, 0, nil), e("a", 2, 0, nil), e("a", 1, 0, nil)}}},
		"newest":    {"latest", &seer{all: []got{e("a", 1, 0, nil)}}},
		"skipped":   {"key", &seer{all: []got{e("a", 1, 0, nil), e("a", 2, 0, nil)}, told: []channel.Notification{{Kind: channel.EventGap}}}},
	} {
		assert.Error(t, check(o.order, o.s, w), name)
	}
}

// A reader moves from dispatcher to dispatcher through cuts and kills, one stays; writers come back elsewhere. While they write all are killed and started.
func TestChannelsThroughCutsAndKills(t *testing.T) {
	c := newChannelRig(t, 3, 3)
	orders := append([]string{"latest"}, orderNames...)
	readers := map[string][]*seer{}
	var all sync.WaitGroup
	wrote := map[string][]*sent{}
	for _, o := range orders {
		readers[o] = []*seer{c.see("all_"+o, 0, 1, 2), c.wander("all_"+o, time.Second, 0, 1, 2)}
		wrote[o] = make([]*sent, 2)
		for i := range 2 {
			all.Go(func() {
				wrote[o][i] = c.write("all_"+o, fmt.Sprint("w", i), 3000, 100*time.Millisecond, i, (i+1)%3, (i+2)%3)
			})
		}
	}
	c.Play(processes.Schedule{{What: processes.Cut, A: []int{2}, For: 2}})
	for _, i := range []int{1, 0} {
		c.again(i)
		c.until("it is back", c.all(), "whole", c.all())
	}
	c.again(c.all()...)
	c.whole()
	for _, o := range orders {
		had := readers[o][1].count()
		c.Until(soon, "it goes on", func() error { return processes.When(readers[o][1].count() < had+20, errors.New(o)) })
	}
	c.enough.Store(true)
	all.Wait()
	for _, o := range orders {
		c.agreed(o, []*seer{c.see("all_"+o, rand.IntN(3)), readers[o][0], readers[o][1]}, wrote[o]...)
	}
}

// The holder is stopped between majority and showing, and wakes: nothing comes twice, nothing is lost, and what it took for an epoch that is over
// is not shown.
func TestTheHolderIsStoppedAndWakes(t *testing.T) {
	c := newChannelRig(t, 3, 3, faulty("ELDERWALL_FAULT_STOP={dir}/stop"))
	readers := []*seer{c.see("all_total", 0, 1, 2), c.wander("all_total", time.Second, 0, 1, 2)}
	var all sync.WaitGroup
	wrote := make([]*sent, 2)
	for i := range wrote {
		all.Go(func() {
			wrote[i] = c.write("all_total", fmt.Sprint("w", i), 3000, 20*time.Millisecond, i, i+1, (i+2)%3)
		})
	}
	goes := func(what string, most int) {
		at := readers[0].count()
		c.Until(soon, what, func() error { return processes.When(readers[0].count() < at+most, errors.New("not yet")) })
	}
	goes("some are shown", 10)
	stop := func(i int) string { return filepath.Join(c.Processes[i].Dir, "stop") }
	for i := range c.Processes { // whoever holds it
		require.NoError(c, os.WriteFile(stop(i), nil, 0o600))
	}
	held := -1
	c.Until(soon, "it stops with what the log has just taken", func() error {
		held = slices.IndexFunc(c.all(), func(i int) bool { _, err := os.Stat(stop(i)); return err != nil })
		return processes.When(held < 0, errors.New("not yet"))
	})
	for _, i := range c.all(held) {
		require.NoError(c, os.Remove(stop(i)))
	}
	goes("another holds it, and goes on", 20)
	c.Processes[held].Signal(syscall.SIGCONT)
	goes("it has woken", 20)
	c.enough.Store(true)
	all.Wait()
	c.agreed("total", append(readers, c.see("all_total", held)), wrote...)
}

// Two halves of a cut: key, sender and causal order go on in both and meet; in the minority nothing of total is taken, and that is said.
func TestChannelsInTwoHalves(t *testing.T) {
	c := newChannelRig(t, 5, 5)
	small, large := []int{3, 4}, []int{0, 1, 2}
	brief := channel.Declaration{Name: "brief", Generation: 1, Order: channel.ByKey, DisconnectSlow: true, RetainedEntries: 10, RetainedBytes: 1 << 20, RetainedSeconds: 3600, OrderWait: 20, WriterExpiry: 3}
	require.NoError(c, c.at(0).Declare(context.Background(), brief))
	stay := []*seer{c.see("brief", small...), c.see("brief", large...)}
	v, back := c.at(small...).Writer("brief", "v"), &sent{writer: "v"}
	say := func(n int) {
		for range n {
			body := fmt.Sprint("v ", len(back.bodies)+1)
			ctx, cancel := context.WithTimeout(c.live, soon)
			require.NoError(c, v(ctx, "k", body))
			cancel()
			back.bodies = append(back.bodies, body)
		}
	}
	say(5)
	c.agreed("key", stay, back)
	var fill []string
	for i := range 64 { // so many stay at least: nothing is kept of the first writer
		fill = append(fill, fmt.Sprint("f ", i))
	}
	require.NoError(c, c.at(0).Writer("brief", "f")(c.live, "k", fill...))
	c.agreed("key", stay, back, &sent{bodies: fill})
	cut := processes.Fault{What: processes.Cut, A: small, B: large}
	c.Begin(cut)
	c.until("the small half knows", small, "minority", small)
	c.until("the large one does", large, "majority", large)
	readers, wrote := map[string][]*seer{}, map[string][]*sent{}
	for _, o := range orderNames[:3] {
		readers[o] = []*seer{c.see("all_"+o, small...), c.see("all_"+o, large...)}
		for i, half := range [][]int{small, large} {
			wrote[o] = append(wrote[o], c.write("all_"+o, fmt.Sprint("w", i), 10, 0, half...))
			c.agreed(o, readers[o][i:i+1], wrote[o][i]) // shown in its own half while the cut stands
		}
	}
	k, _ := ParseKeys(c.keys[-1])
	told := need.Of(AskEntries(context.Background(), c.Processes[3].Fleet, k, []channel.Entry{{Channel: "all_total", Writer: "w", Number: 1}}))(c)
	require.ErrorIs(c, told[0].Err(), channel.ErrNoMajority)
	readers["total"] = []*seer{c.see("all_total", large...), c.see("all_total", small...)}
	var all sync.WaitGroup
	wrote["total"] = make([]*sent, 1)
	all.Go(func() { wrote["total"][0] = c.write("all_total", "v", 3000, 10*time.Millisecond, large...) })
	c.Until(soon, "some are shown", func() error { return processes.When(readers["total"][0].count() < 10, errors.New("not yet")) })
	// Declared in the cut: by the majority alone.
	d := channel.Declaration{Name: "all_key", Generation: 2, Order: channel.ByKey, DisconnectSlow: true, RetainedEntries: 5000, RetainedBytes: 8 << 20, RetainedSeconds: 3600, OrderWait: 20}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.Error(c, c.at(small...).Declare(ctx, d))
	require.NoError(c, c.at(large[0]).Declare(context.Background(), d))
	require.ErrorContains(c, c.at(large[1]).Declare(context.Background(), d), "generation")
	d.Name, d.Order = "all_total", channel.Total
	require.NoError(c, c.at(large[0]).Declare(context.Background(), d))
	at := readers["total"][0].count()
	c.Until(soon, "it goes on", func() error { return processes.When(readers["total"][0].count() < at+10, errors.New("not yet")) })
	c.enough.Store(true)
	all.Wait()
	c.Until(soon, "the large half lets the name go", func() error {
		n := c.counted(0, "WritersGone")
		return processes.When(n == 0, errors.New("not yet"))
	})
	say(5) // and the small one takes more of it
	c.End(cut)
	c.whole()
	for _, o := range orderNames {
		c.agreed(o, readers[o], wrote[o]...)
	}
	c.agreed("key", stay, back, &sent{bodies: fill})
	again := channel.Entry{Channel: "brief", Writer: "v", Number: 11, Clock: 1 << 40, Key: "k", Body: []byte("v 11")}
	back.bodies = append(back.bodies, "v 11")
	many := &sent{writer: "many"}
	c.Until(2*soon, "more names than a channel has at a time", func() error {
		for _, s := range stay { // what is kept is little
			if n := s.count(); n < len(fill)+10+len(many.bodies) {
				return fmt.Errorf("%d of %d", n, len(many.bodies))
			}
		}
		all := []channel.Entry{again}
		for i := len(many.bodies); i < 300 && len(all) < 40; i++ {
			all = append(all, channel.Entry{Channel: "brief", Writer: fmt.Sprint("m", i), Number: 1, Clock: 1 << 40, Key: "k", Body: fmt.Append(nil, "m ", i)})
		}
		told, err := AskEntries(c.live, c.Processes[len(many.bodies)%3].Fleet, k, all)
		if err != nil {
			return err
		}
		for i := range told {
			if !told[i].Met {
				return told[i].Err()
			} else if i > 0 {
				many.bodies = append(many.bodies, string(all[i].Body))
			}
		}
		return processes.When(len(many.bodies) < 300, fmt.Errorf("%d", len(many.bodies)))
	})
	c.agreed("key", stay, back, many, &sent{bodies: fill})
	readers["total"] = append(readers["total"], c.see("all_total", small...)) // who comes after it is told, too
	for _, o := range []string{"key", "total"} {
		for i, s := range readers[o] {
			c.Until(soon, fmt.Sprint("reader ", i, " of ", o, " is told of the change"), func() error {
				s.mu.Lock()
				defer s.mu.Unlock()
				first := readers[o][0]
				return processes.When(len(s.turns) != 1 || o == "total" && s.turns[0] != first.turns[0], fmt.Errorf("%v %v", s.turns, first.turns))
			})
		}
	}
}

// anotherTotal is declared in place of a withdrawn channel of total order.
const anotherTotal = "all_total_2"

// counted is one of a process's counters; -1 where it doesn't answer.
func (c *channelRig) counted(i int, name string) int64 {
	sight, err := c.asked(i, AskMembers)
	if err != nil {
		return -1
	}
	return sight.Counts[name]
}

// Channels are withdrawn while one dispatcher is away, and declared anew: readers are told at one entry, writers are refused, and nothing of the
// old comes back with who was away. One of total order is not declared again under its name, before or after a restart of all; another name is.
func TestChannelsEnd(t *testing.T) {
	c := newChannelRig(t, 3, 3)
	names := []string{"all_key", "all_total"}
	readers, wrote := map[string][]*seer{}, map[string]*sent{}
	for _, name := range names {
		readers[name] = []*seer{c.see(name, 0, 1), c.see(name, 2, 1)}
		wrote[name] = c.write(name, "w", 20, 0, 1, 2)
		c.agreed(strings.TrimPrefix(name, "all_"), readers[name], wrote[name])
	}
	c.Processes[2].Kill()
	for _, name := range names {
		wrote[name] = &sent{writer: "w", bodies: append(wrote[name].bodies, c.write(name, "x", 5, 0, 0, 1).bodies...)}
		c.does(0, "publish", name, "--end")
		for i, s := range readers[name] {
			select {
			case <-s.ended:
			case <-time.After(soon):
				c.Fatalf("reader %d of %s is not told", i, name)
			}
			assert.Equal(c, channel.EventEnded, s.told[len(s.told)-1].Kind)
			assert.Equal(c, []int{25, 1}, []int{len(s.all), len(s.told)}, "all that was acknowledged came, and nothing else was told")
		}
		ctx, cancel := context.WithTimeout(c.live, soon)
		require.ErrorIs(c, c.at(1).Writer(name, "y")(ctx, "k", "late"), channel.ErrWithdrawn)
		cancel()
		order := map[string]channel.Order{"all_key": channel.ByKey, "all_total": channel.Total}[name]
		d := channel.Declaration{Name: name, Generation: 2, Order: order, DisconnectSlow: true, RetainedEntries: 5000, RetainedBytes: 8 << 20, RetainedSeconds: 3600, OrderWait: 20}
		require.ErrorContains(c, c.at(1).Declare(c.live, d), "generation")
		d.Generation = 3
		if order == channel.Total {
			require.ErrorContains(c, c.at(1).Declare(c.live, d), channel.ErrNameReuse.Error())
			d.Name, d.Generation = anotherTotal, 1
		}
		require.NoError(c, c.at(1).Declare(c.live, d))
	}
	c.Processes[2].Start()
	c.whole()
	again := channel.Declaration{Name: "all_total", Generation: 3, Order: channel.Total, DisconnectSlow: true, RetainedEntries: 5000, RetainedBytes: 8 << 20, RetainedSeconds: 3600, OrderWait: 20}
	require.ErrorContains(c, c.at(2).Declare(c.live, again), channel.ErrNameReuse.Error(), "by one that was away")
	for _, p := range c.Processes {
		p.Kill()
	}
	for _, p := range c.Processes {
		p.Start()
	}
	c.whole()
	for i := range c.Processes {
		c.Until(soon, fmt.Sprint(i, " refuses it after a restart of all"), func() error {
			err := c.at(i).Declare(c.live, again)
			return processes.When(err == nil || !strings.Contains(err.Error(), channel.ErrNameReuse.Error()), fmt.Errorf("%w", err))
		})
	}
	names = []string{"all_key", anotherTotal}
	for i, p := range c.Processes {
		c.Until(soon, fmt.Sprint(i, " knows of what is declared anew"), func() error {
			n := 0
			for _, l := range p.Said("channels: declared") {
				if l.Fields["channel"] == "all_key" && l.Fields["generation"] == 3.0 || l.Fields["channel"] == anotherTotal {
					n++
				}
			}
			return processes.When(n < len(names), fmt.Errorf("%d", n))
		})
	}
	for _, name := range names {
		anew := c.write(name, "z", 10, 0, 0, 1, 2)
		order := strings.TrimPrefix(strings.TrimSuffix(name, "_2"), "all_")
		all := []*seer{c.see(name, 2), c.see(name, 0)}
		for _, old := range readers[name] { // and who was told the end goes on with what is new
			s := &seer{ended: make(chan struct{})}
			go func() { _, _ = c.at(2, 0).Follow(c.live, name, 0, old.place, s.take) }()
			all = append(all, s)
		}
		c.agreed(order, all, anew)
		for _, s := range all {
			assert.Len(c, bodies(s), 10, "nothing of the old")
		}
	}
	k, _ := ParseKeys(c.keys[-1])
	c.Until(soon, "what is left in the memory is the new", func() error {
		for _, p := range c.Processes {
			t, err := AskMemory(c.live, p.Fleet, k, AskRead, []replication.Record{{Kind: channel.EntryKind}}, replication.WriteConcern{})
			if n := t.Number; err != nil || n > 2*10+1 { // and the turn of total order
				return errors.Join(err, fmt.Errorf("%d entries", n))
			}
		}
		return nil
	})
}

// Readers of a dispatcher that is killed come back to the others, not all at once, and miss nothing.
func TestReadersComeBackWithoutAHerd(t *testing.T) {
	const many = 1000
	c := newChannelRig(t, 3, 3)
	var readers []*seer
	for range many {
		readers = append(readers, c.see("all_key", 0, 1, 2))
	}
	has := func(n int) func() error {
		return func() error {
			have := 0
			for _, s := range readers {
				if s.count() >= n {
					have++
				}
			}
			return processes.When(have < many, fmt.Errorf("%d", have))
		}
	}
	wrote := c.write("all_key", "w", 1, 0, 1, 2)
	c.Until(soon, "all have the first", has(1))
	type sample struct {
		at      time.Time
		readers int64
	}
	var samples [2][]sample
	at := func(i int) int64 {
		n := c.counted(i, "Readers")
		if n >= 0 {
			samples[i-1] = append(samples[i-1], sample{time.Now(), n})
		}
		return n
	}
	c.Processes[0].Kill()
	killed := time.Now()
	c.Until(soon, "all are back", func() error {
		a, b := at(1), at(2)
		return processes.When(a+b < many, fmt.Errorf("%d and %d", a, b))
	})
	took := time.Since(killed)
	wrote.bodies = append(wrote.bodies, c.write("all_key", "v", 1, 0, 1, 2).bodies...)
	c.Until(soon, "all have the second", has(2))
	for _, s := range readers {
		require.NoError(c, check("key", s, wrote))
	}
	most := int64(0)
	for _, all := range samples {
		for i, j := 0, 0; i < len(all); i++ {
			for all[i].at.Sub(all[j].at) > time.Second {
				j++
			}
			most = max(most, all[i].readers-all[j].readers)
		}
	}
	c.Logf("the last of %d is back after %v, at most %d in a second at one", many, took, most)
	assert.Less(c, most, int64(170), "one lets in 100 a second, and 50 at once")
	assert.Positive(c, most)
}

// The command line follows, writes and declares.
func TestChannelCommands(t *testing.T) {
	c := newChannelRig(t, 3, 3)
	var many []string
	for i := range 300 { // numbers beyond what one byte has
		many = append(many, fmt.Sprint("w ", i))
	}
	require.NoError(c, c.at(0).Writer("all_key", "w")(c.live, "k", many...))
	c.agreed("key", []*seer{c.see("all_key", 2)}, &sent{writer: "w", bodies: many})
	purges := c.see("purges", 1)
	c.Changes.Push(fmt.Sprintf(`{"seq":2,"invalidate":{"object":"7f3a9c21e0b4d655","bucket":3,"time":%d}}`, time.Now().UnixMilli()))
	c.Until(soon, "a purge is told", func() error {
		purges.mu.Lock()
		defer purges.mu.Unlock()
		for _, e := range purges.all {
			if o, err := purgefloor.ParseRecord(e.key, []byte(e.body)); err == nil && o.Time > 0 {
				return nil
			}
		}
		return fmt.Errorf("%v", purges.all)
	})
	state := filepath.Join(c.Dir, "writer")
	c.does(0, "publish", "all_total", "one", "two", "--state", state)
	c.does(1, "publish", "all_total", "three", "--state", state)
	position := filepath.Join(c.Dir, "position")
	c.Until(soon, "it follows", func() error {
		out, err := c.run(2, "follow", "all_total", "--for", "1s", "--position", position)
		n := strings.Count(out, "\n")
		return processes.When(n < 3, fmt.Errorf("%d lines, %w", n, errors.Join(err, errMessage)))
	})
	out, err := c.run(0, "follow", "news", "--order", "total", "--for", "5s")
	assert.Error(c, err)
	assert.Contains(c, out, "promises latest")
}
