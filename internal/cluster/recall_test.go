package cluster

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/purgefloor"
	"elderwall/core/cluster/replication"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/processes"
)

const testKind = 250 // of a program built with faults: synced, the higher bytes stand

// memoryRig is dispatchers that remember together.
type memoryRig struct{ *memberRig }

// remember starts so many; settings are more of the section on memory.
func remember(t *testing.T, n int, settings string) *memoryRig {
	return &memoryRig{start(t, n, func(m *memberRig) {
		m.Binary = processes.Build(t, "../..", "faults")
		for i := range n {
			m.more[i] = `memory: {folder: "memory", ` + settings + `}`
		}
	})}
}

func (m *memoryRig) ask(i int, what string, sure replication.WriteConcern, records ...replication.Record) (Told, error) {
	k := need.Of(ParseKeys(m.keys[-1]))(m)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	return AskMemory(ctx, m.Processes[i].Fleet, k, what, records, sure)
}

func key(i int) string { return fmt.Sprintf("k%06d", i) }

// gone is the value of what is deleted: it stands over all others.
const gone = "~"

// write writes keys from one number up to another at a process, and waits until it is as sure as wanted. Where that failed it is repeated with a
// value that stands over it.
func (m *memoryRig) write(at, from, to int, value string, sure replication.WriteConcern) {
	m.Helper()
	for from < to {
		trial, next := 0, min(to, from+1000)
		m.Until(soon, "records are written", func() error {
			var all []replication.Record
			for i := from; i < next; i++ {
				all = append(all, replication.Record{Kind: testKind, Key: key(i), Value: fmt.Append(nil, value, trial), Deleted: value == gone})
			}
			trial++
			err := met(m.ask(at, AskWrite, sure, all...))
			if err != nil {
				m.Logf("n%d, trial %d: %v", at, trial, err)
			}
			return err
		})
		from = next
	}
}

// met is what is wrong with what is told of writes.
func met(told Told, err error) error {
	at := slices.IndexFunc(told.Ended, func(o replication.Outcome) bool { return !o.Met })
	if err == nil && (at >= 0 || len(told.Ended) == 0) {
		err = fmt.Errorf("%+v", told.Ended)
	}
	return err
}

// sum is how many records of the test's kind stand at a process, and a sum over them.
func (m *memoryRig) sum(i int) (n, sum uint64, err error) {
	t, err := m.ask(i, AskRead, replication.WriteConcern{}, replication.Record{Kind: testKind})
	if err != nil || len(t.Records) == 0 {
		return 0, 0, errors.Join(err, errMessage)
	}
	return t.Number, binary.BigEndian.Uint64(t.Records[0].Value), nil
}

// same waits until some have the same, so many records.
func (m *memoryRig) same(n int, who ...int) {
	m.Helper()
	m.Until(soon, fmt.Sprintf("%v have the same %d", who, n), func() error {
		var first uint64
		for at, i := range who {
			has, sum, err := m.sum(i)
			if err != nil {
				return err
			}
			if at == 0 {
				first = sum
			}
			if has != uint64(n) || sum != first {
				return fmt.Errorf("n%d has %d, sum %x of %x; %+v", i, has, sum, first, m.memory(i))
			}
		}
		return nil
	})
}

func (m *memoryRig) memory(i int) (s ToldMemory) {
	if t, err := m.asked(i, AskMembers); err == nil && t.Memory != nil {
		return *t.Memory
	}
	return ToldMemory{Problem: "no answer"}
}

// kind is the counts of a kind.
func (s *ToldMemory) kind(name string) (k replication.KindStatus) {
	for _, o := range s.Kinds {
		if o.Kind == name {
			k = o
		}
	}
	return k
}

func (m *memoryRig) reads(i, of int) string {
	t, err := m.ask(i, AskRead, replication.WriteConcern{}, replication.Record{Kind: testKind, Key: key(of)})
	if err != nil || len(t.Records) == 0 {
		return ""
	}
	return strings.TrimRight(string(t.Records[0].Value), "0123456789")
}

// anew starts some again, while n2 is away: the deltas that they had are gone.
func (m *memoryRig) anew(who ...int) {
	m.again(who...)
	m.until("they are back", who, "majority", who)
}

func (m *memoryRig) disk(i int) string {
	return filepath.Join(m.Processes[i].Dir, "memory", recordsFile)
}

var (
	here     = replication.WriteConcern{Timeout: 3}
	majority = replication.WriteConcern{Level: replication.LevelMajority, Timeout: 3}
	three    = replication.WriteConcern{Level: replication.LevelCopies, Copies: 3, Timeout: 3}
	two      = replication.WriteConcern{Level: replication.LevelCopies, Copies: 2, Timeout: 3}
)

func TestOneIsAwayDuringManyWrites(t *testing.T) {
	const many = 10_000
	anew := func(m *memoryRig) { m.anew(0, 1) }
	for name, way := range map[string]struct {
		back  func(m *memoryRig)
		check func(s ToldMemory) bool
	}{
		"deltas":  {func(*memoryRig) {}, func(s ToldMemory) bool { return s.Snapshots+s.DigestWalks == 0 }},
		"digests": {anew, func(s ToldMemory) bool { return s.Snapshots == 0 && s.DigestWalks > 0 }},
		"whole":   {func(m *memoryRig) { m.Processes[2].Wipe(); anew(m) }, func(s ToldMemory) bool { return s.Snapshots > 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			m := remember(t, 3, "")
			m.write(0, 0, 100, "before", three) // on its disk, too
			m.same(100, 0, 1, 2)
			m.Processes[2].Kill()
			m.until("its end is known", []int{0, 1}, "majority", []int{0, 1})
			m.write(0, 100, many/2, "while it was away, by one", here)
			m.write(1, many/2, many, "while it was away, by another", two)
			way.back(m)
			start := time.Now()
			m.Processes[2].Start()
			m.same(many, 0, 1, 2)
			s := m.memory(2)
			t.Logf("caught up %v after its start, %d bytes in %d pulls", time.Since(start), s.PulledBytes, s.Pulls)
			assert.True(t, way.check(s), "%+v", s)
			m.write(2, 0, 1, "written by who came back", majority)
			m.serve(0, 1, 2)
		})
	}
}

func TestASnapshotIsCutOff(t *testing.T) {
	for _, who := range []int{0, 2} { // its source, which is near; its taker
		t.Run(fmt.Sprint("n", who), func(t *testing.T) {
			const many = 8000
			m := remember(t, 4, `rate: "200KiB"`)
			m.write(0, 0, many, "a value that has some length, so that all of them take some seconds on their way", here)
			m.same(many, 0, 1, 2, 3)
			m.Processes[2].Kill()
			m.Processes[2].Wipe()
			m.anew(0, 1, 3)
			m.Processes[2].Start()
			halfway := func() error {
				n, _, err := m.sum(2)
				s := m.memory(2)
				return processes.When(err != nil || n == 0 || n >= many || !s.CatchingUp, fmt.Errorf("%d, %w, %+v", n, errors.Join(err, errMessage), s))
			}
			m.Until(soon, "it has some", halfway)
			m.Processes[who].Kill()
			if who == 2 {
				m.Processes[who].Start()
			}
			m.same(many, 1, 2, 3)
			m.Processes[who].Start()
			m.same(many, 0, 1, 2, 3)
			m.Until(soon, "it has caught up", func() error {
				s := m.memory(2)
				return processes.When(s.CatchingUp || s.Behind > 0, fmt.Errorf("%+v", s))
			})
			if s := m.memory(2); who == 0 {
				assert.Positive(t, s.Snapshots)
				assert.Less(t, s.PulledBytes, uint64(many*140), "it goes on where it was cut off: all of them take 138 bytes each")
			} else {
				assert.Less(t, s.PulledBytes, uint64(many*140), "who was killed takes all once more at most")
			}
		})
	}
}

func TestAMemorysDisk(t *testing.T) {
	const n = 500
	for name, spoil := range map[string]func(m *memoryRig){
		"emptied": func(m *memoryRig) { require.NoError(m, os.RemoveAll(filepath.Dir(m.disk(2)))) },
		"torn": func(m *memoryRig) {
			raw := need.Of(os.ReadFile(m.disk(2)))(m)
			for i := len(raw) / 3; i < 2*len(raw)/3; i++ {
				raw[i] ^= 0xff
			}
			require.NoError(m, os.WriteFile(m.disk(2), raw, 0o600))
		},
		"cut short": func(m *memoryRig) { require.NoError(m, os.Truncate(m.disk(2), 5000)) },
	} {
		t.Run(name, func(t *testing.T) {
			m := remember(t, 3, "")
			m.write(2, 0, n, "by it", majority)
			m.Processes[2].Kill()
			spoil(m)
			m.Processes[2].Start()
			m.same(n, 0, 1, 2)
			m.write(2, n, n+10, "by it again", majority)
			m.same(n+10, 0, 1, 2)
			for i := range 3 {
				for _, k := range m.memory(i).Kinds {
					assert.Zero(t, k.Conflicting)
				}
			}
		})
	}
	t.Run("put back older", func(t *testing.T) {
		m := remember(t, 3, "")
		m.write(2, 0, n, "early", majority)
		m.Processes[2].Kill()
		old := need.Of(os.ReadFile(m.disk(2)))(t)
		m.Processes[2].Start()
		m.same(n, 0, 1, 2)
		m.write(2, 0, 2*n, "late", majority)
		m.Processes[2].Kill()
		require.NoError(t, os.WriteFile(m.disk(2), old, 0o600))
		m.Processes[2].Start()
		m.write(2, 2*n, 3*n, "after it was put back", majority)
		m.same(3*n, 0, 1, 2)
		assert.Equal(t, "late", m.reads(2, 0))
		s := m.memory(0)
		assert.Zero(t, s.kind("test").Conflicting)
	})
	t.Run("full", func(t *testing.T) {
		m := remember(t, 3, "")
		m.write(2, 0, n, "by it", majority)
		m.Processes[2].Full(true)
		doubt := replication.Record{Kind: testKind, Key: key(0), Value: []byte("by it, in doubt")}
		doubt.Value[5] = '~' // above what stands: it may come to stand once there is room
		_, err := m.ask(2, AskWrite, here, doubt)
		m.Until(soon, "it refuses", func() error {
			if m.memory(2).Problem == "" {
				return errors.New("not yet")
			}
			_, err = m.ask(2, AskWrite, here, doubt)
			return nil
		})
		require.Error(t, err)
		m.write(0, n, 2*n, "while it was full", two)
		m.same(2*n, 0, 1, 2) // it learns, but its word counts for nothing
		s := need.Of(m.ask(0, AskWrite, replication.WriteConcern{Level: replication.LevelCopies, Copies: 3, Timeout: 1.5}, replication.Record{Kind: testKind, Key: key(0), Value: []byte("c")}))(t)
		require.Equal(t, 2, s.Ended[0].Copies)
		require.False(t, s.Ended[0].Met)
		m.serve(2)
		m.Processes[2].Full(false)
		m.write(0, 2*n, 2*n+1, "when it has room", three)
		m.write(2, 2*n+1, 2*n+2, "by it", majority)
		m.Processes[2].Kill()
		m.Begin(processes.Fault{What: processes.Cut, A: []int{2}})
		m.Processes[2].Start() // what it was told while it was full is on its disk
		m.same(2*n+2, 0, 1, 2)
	})
}

func TestTwoHalvesWriteTheSameKeys(t *testing.T) {
	for name, cut := range map[string]processes.Fault{"cut": {What: processes.Cut, A: []int{0, 1}}, "one way": {What: processes.CutOff, A: []int{0, 1}}} {
		t.Run(name, func(t *testing.T) {
			m := remember(t, 4, "")
			m.write(0, 0, 100, "a", two)
			m.same(100, 0, 1, 2, 3)
			m.Begin(cut)
			for i := range 4 { // each key is written in both parts, now the higher in one, now in the other
				m.write(i, 0, 200, fmt.Sprint("b", string(rune('a'+(i+2)%4))), here)
			}
			m.write(1, 200, 250, "by one part", here)
			m.write(3, 250, 300, "by the other", here)
			m.End(cut)
			m.same(300, 0, 1, 2, 3)
			for i := range 4 {
				assert.Equal(t, "bd", m.reads(i, 7))
			}
		})
	}
}

// A disk that has another content under one dot, as a torn or a copied one may: no law can settle it.
func TestOneDotWithTwoContents(t *testing.T) {
	m := remember(t, 3, "")
	m.write(0, 0, 100, "the value", three)
	m.same(100, 0, 1, 2)
	m.Processes[2].Kill()
	s, saved, err := openStore(filepath.Join(m.Processes[2].Dir, "memory"))
	require.NoError(t, err)
	for _, c := range saved.Records {
		if c.Record.Key == key(7) {
			c.Record.Value = []byte("another")
			require.NoError(t, s.save(&replication.Save{WriterEpoch: saved.WriterEpoch, Records: []replication.ReplicatedRecord{c}, Sync: true}))
		}
	}
	require.NoError(t, s.close())
	m.Processes[2].Start()
	m.same(99, 0, 1, 2)
	m.write(1, 7, 8, "written anew", majority)
	m.same(100, 0, 1, 2)
	assert.NotEmpty(t, append(m.Processes[0].Said("memory: aside"), m.Processes[2].Said("memory: aside")...))
}

func TestOneIsStoppedForLongerThanTheHorizon(t *testing.T) {
	m := remember(t, 3, `horizon: "10s"`)
	m.write(2, 0, 1000, "a value", majority)
	m.same(1000, 0, 1, 2)
	cut := processes.Fault{What: processes.Cut, A: []int{2}}
	m.Begin(cut)
	m.write(2, 1500, 1510, "known to it alone", here)
	m.Processes[2].Signal(syscall.SIGSTOP)
	m.until("it is held to have failed", []int{0, 1}, "majority", []int{0, 1})
	m.End(cut) // what it had sent by then is lost
	m.write(0, 0, 500, gone, two)
	m.write(0, 1000, 1500, "while it was stopped", two)
	m.same(1000, 0, 1)
	m.Until(soon, "the tombstones are forgotten", func() error {
		k := m.memory(0)
		return processes.When(k.kind("test").Tombstones > 0, fmt.Errorf("%+v", k))
	})
	m.Processes[2].Signal(syscall.SIGCONT)
	m.same(1010, 0, 1, 2)
	for range 10 { // nothing that was deleted comes back, and what it alone had is merged
		m.same(1010, 0, 1, 2)
		time.Sleep(100 * time.Millisecond)
	}
}

// A second process has the name and a copy of the disk of one. While it is ousted it speaks to nobody and nothing is acknowledged by it beyond
// itself; when it has the name, what came twice under one dot is told and set aside, and whatever is written after that is the same to all.
func TestATwinRemembers(t *testing.T) {
	m := remember(t, 5, "")
	m.write(3, 0, 100, "by the holder", majority)
	m.same(100, 0, 1, 2, 3, 4)
	holder, twin := m.Processes[3], m.Processes[4]
	twin.Kill()
	holder.Kill()
	m.until("both are gone", []int{0, 1, 2}, "majority", []int{0, 1, 2})
	copyFile(t, m.disk(3), m.disk(4))
	holder.Start()
	m.until("it is back", []int{0, 1, 2, 3}, "majority", []int{0, 1, 2, 3})
	m.write(3, 100, 150, "by the holder again", majority)
	twin.Name = holder.Name
	twin.Start()
	m.told(4, "ousted", holder.Name)
	var all []replication.Record
	for i := range 50 {
		all = append(all, replication.Record{Kind: testKind, Key: key(100 + i), Value: []byte("by the twin")})
	}
	told, err := m.ask(4, AskWrite, replication.WriteConcern{Level: replication.LevelMajority, Timeout: 1}, all...)
	assert.True(t, err != nil || !told.Ended[0].Met, "it has no majority")
	twice := 0 // it writes if a member answered before it was ousted; else it can't know what others have of its name, and refuses
	if told, err = m.ask(4, AskWrite, here, all...); err == nil {
		require.True(t, told.Ended[0].Met)
		twice = len(all)
	}
	holder.Kill()
	m.Until(soon, "the twin has the name", func() error {
		s, err := m.see(4)
		if err == nil && s.Standing != "member" {
			err = errors.New(s.Standing)
		}
		return err
	})
	m.Until(soon, "the two contents are told, and used by nobody", func() error {
		for _, i := range []int{0, 1, 2, 4} {
			if s := m.memory(i); s.kind("test").Conflicting != twice {
				return fmt.Errorf("n%d: %+v", i, s.kind("test"))
			}
		}
		return nil
	})
	m.write(4, 100, 160, "later", majority)
	m.same(160, 0, 1, 2, 4)
}

// A version with a new kind is rolled out to one after the other, and back at one: purges go on both ways, what was acknowledged is kept, and
// whoever comes to know the kind gets all of it, from whoever is left.
func TestKindsAreRolledOut(t *testing.T) {
	m := remember(t, 4, "")
	version := func(env []string, who ...int) {
		m.Env = env
		m.again(who...)
		m.Env = nil
		m.whole()
	}
	older, number := []string{"ELDERWALL_FAULT_OLDER=yes"}, 0
	purge := func(at int) {
		number++
		k, value, _ := purgefloor.EncodeRecord(purgefloor.Floor{Object: fmt.Sprint(number), Time: time.Now().UnixMilli()})
		m.Until(soon, "it is written", func() error {
			return met(m.ask(at, AskWrite, majority, replication.Record{Kind: purgefloor.KindID, Key: k, Value: value}))
		})
		for i := range 4 {
			m.Until(soon, "it is known", func() error {
				told, err := m.ask(i, AskRead, replication.WriteConcern{}, replication.Record{Kind: purgefloor.KindID, Key: k})
				return processes.When(err != nil || len(told.Records) != 1, errors.Join(err, errMessage))
			})
		}
	}
	version(older, 2, 3)
	m.write(0, 0, 500, "by one that knows it", two)
	purge(0)
	purge(2)
	told := need.Of(m.ask(1, AskWrite, replication.WriteConcern{Level: replication.LevelCopies, Copies: 3, Timeout: 1}, replication.Record{Kind: testKind, Key: key(500), Value: []byte("a")}))(t)
	assert.Equal(t, []any{false, 2}, []any{told.Ended[0].Met, told.Ended[0].Copies}, "two know it")
	version(nil, 2)
	m.same(501, 0, 1, 2)
	m.write(2, 501, 600, "by who came to know it", three)
	version(older, 2) // and back
	m.write(0, 0, 100, gone, two)
	m.write(1, 600, 700, "while it was older", two)
	purge(2)
	for _, i := range []int{2, 3} {
		assert.Equal(t, []int{testKind}, m.memory(i).UnknownKinds)
	}
	version(nil, 2, 3)
	m.same(600, 0, 1, 2, 3)
	for i := range 4 {
		m.write(i, 700+i, 701+i, "by all", replication.WriteConcern{Level: replication.LevelCopies, Copies: 4, Timeout: 3})
		s := m.memory(i)
		assert.False(t, s.kind("test").Incomplete || len(s.UnknownKinds) > 0)
	}
	purge(3)
}

// Channels are turned on at one after the other: what is written there is kept by all, and purges go on both ways.
func TestChannelsAreTurnedOnAtSome(t *testing.T) {
	c := &channelRig{dutyRig: duty(t, 4, 3, func(m *memberRig) {
		for i := range 4 {
			if m.more[i] += `, memory: {folder: "memory"}`; i < 2 {
				m.more[i] += `, channels: ` + declared
			}
		}
	})}
	m := &memoryRig{c.memberRig}
	write := c.at(0, 1).Writer("all_key", "w")
	for i := range 20 {
		c.Until(soon, "it is acknowledged", func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			return write(ctx, fmt.Sprint(i), "body")
		})
	}
	for _, at := range []int{0, 3} {
		k, value, _ := purgefloor.EncodeRecord(purgefloor.Floor{Group: at + 1, Time: time.Now().UnixMilli()})
		told := need.Of(m.ask(at, AskWrite, replication.WriteConcern{Level: replication.LevelCopies, Copies: 4, Timeout: 3}, replication.Record{Kind: purgefloor.KindID, Key: k, Value: value}))(t)
		assert.True(t, told.Ended[0].Met)
	}
	m.Until(soon, "all have the entries", func() error {
		var first []byte
		for i := range 4 {
			told, err := m.ask(i, AskRead, replication.WriteConcern{}, replication.Record{Kind: channel.EntryKind})
			if err != nil || told.Number < 20 {
				return fmt.Errorf("n%d: %d, %w", i, told.Number, errors.Join(err, errMessage))
			}
			if first == nil {
				first = told.Records[0].Value
			}
			if !bytes.Equal(first, told.Records[0].Value) {
				return fmt.Errorf("n%d differs", i)
			}
		}
		return nil
	})
}

// Clocks run ten times as fast, and at a tenth: none is compared with another's, so all that changes is when each forgets.
func TestClocksOfTheMemoryRunOff(t *testing.T) {
	m := remember(t, 4, `horizon: "10s"`)
	m.write(2, 0, 500, "a value", three)
	for i, clock := range map[int]string{1: "0.1", 2: "10"} {
		m.Processes[i].Kill()
		m.Env = []string{"ELDERWALL_FAULT_CLOCK=" + clock}
		m.Processes[i].Start()
	}
	m.Env = nil
	m.whole()
	m.same(500, 0, 1, 2, 3)
	cut := processes.Fault{What: processes.Cut, A: []int{1}}
	m.Begin(cut)
	m.write(0, 0, 250, gone, three)
	m.write(2, 500, 600, "by the fast one", three)
	m.Until(soon, "the fast one forgets what was deleted", func() error {
		s := m.memory(2)
		k := s.kind("test")
		return processes.When(k.Tombstones > 0, fmt.Errorf("%+v", k))
	})
	m.End(cut)
	m.write(1, 600, 650, "by the slow one", majority)
	m.same(400, 0, 1, 2, 3)
}

// chaos is what a drawn schedule does to five processes that write meanwhile. What it knows is what it was told itself.
type chaos struct {
	*memoryRig
	mu    sync.Mutex
	acked map[string]bool // keys that were acknowledged as sure as wanted; false: whose deletion was
}

// work has one process write and delete keys of its own until it is told to stop.
func (c *chaos) work(at int, stop <-chan struct{}) {
	var own []string
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		records, dead := []replication.Record{}, n%3 == 2 && len(own) > 10
		for i := range 10 {
			k := fmt.Sprintf("c%d-%d-%d", at, n, i)
			if dead {
				k, own = own[0], own[1:]
			}
			records = append(records, replication.Record{Kind: testKind, Key: k, Value: []byte(map[bool]string{true: gone, false: "v"}[dead]), Deleted: dead})
		}
		c.mu.Lock()
		for _, r := range records {
			if dead {
				delete(c.acked, r.Key) // either way is right until it is acknowledged
			}
		}
		c.mu.Unlock()
		told, err := c.ask(at, AskWrite, [5]replication.WriteConcern{here, two, majority, majority, majority}[at], records...)
		if err != nil {
			continue
		}
		c.mu.Lock()
		for i, o := range told.Ended {
			if o.Met {
				if c.acked[records[i].Key] = !dead; !dead {
					own = append(own, records[i].Key)
				}
			}
		}
		c.mu.Unlock()
	}
}

// TestSchedulesOfTheMemory plays faults that are drawn by seed, and kills all at the end. One disk alone is emptied or put back older: a majority
// keeps what was acknowledged there.
func TestSchedulesOfTheMemory(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("ELDERWALL_SCHEDULES"))
	for seed := range max(1, seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := &chaos{memoryRig: remember(t, 5, ""), acked: map[string]bool{}}
			chance := rand.New(rand.NewPCG(uint64(seed), 47))
			stop := make(chan struct{})
			var group errgroup.Group
			for i := range 5 {
				group.Go(func() error { c.work(i, stop); return nil })
			}
			var old []byte
			for range 6 {
				time.Sleep(time.Duration(200+chance.IntN(400)) * time.Millisecond)
				who, lasts := chance.IntN(5), float64(300+chance.IntN(1500))/1000
				f := processes.Fault{For: lasts, What: []string{processes.Cut, processes.CutOff, processes.Kill, processes.Stop, "empty", "older"}[chance.IntN(6)], A: []int{who}}
				if f.What == processes.Cut {
					f.A = []int{who, (who + 1 + chance.IntN(4)) % 5}
				}
				t.Log(f.What, f.A, lasts)
				if f.What != "empty" && f.What != "older" {
					c.Play(processes.Schedule{f})
					continue
				}
				c.Processes[4].Kill()
				is := need.Of(os.ReadFile(c.disk(4)))(t)
				if f.What == "empty" {
					require.NoError(t, os.Remove(c.disk(4)))
				} else if old != nil {
					require.NoError(t, os.WriteFile(c.disk(4), old, 0o600))
				}
				old = is
				c.Processes[4].Start()
			}
			c.again(c.all()...)
			close(stop)
			require.NoError(t, group.Wait())
			c.whole()
			count := 0
			c.Until(soon, "all agree", func() error {
				var sums [5]uint64
				for i := range sums {
					n, sum, err := c.sum(i)
					if sums[i], count = sum, int(n); err != nil || sum != sums[0] {
						return fmt.Errorf("n%d has %d, sum %x of %x, %w", i, n, sum, sums[0], errors.Join(err, errMessage))
					}
				}
				return nil
			})
			lost, back := c.wrong()
			assert.Empty(t, lost, "acknowledged and lost")
			assert.Empty(t, back, "deleted and back")
			t.Logf("%d stand, %d acknowledged", count, len(c.acked))
			assert.Greater(t, len(c.acked), 100)
		})
	}
}

// wrong asks a process for all keys of which it is known how they stand.
func (c *chaos) wrong() (lost, back []string) {
	keys := slices.Sorted(maps.Keys(c.acked))
	for part := range slices.Chunk(keys, 500) {
		var all []replication.Record
		for _, k := range part {
			all = append(all, replication.Record{Kind: testKind, Key: k})
		}
		told := need.Of(c.ask(0, AskRead, replication.WriteConcern{}, all...))(c)
		has := map[string]bool{}
		for _, r := range told.Records {
			has[r.Key] = true
		}
		for _, k := range part {
			if c.acked[k] && !has[k] {
				lost = append(lost, k)
			}
			if !c.acked[k] && has[k] {
				back = append(back, k)
			}
		}
	}
	return lost, back
}

// A purge that one hears is learned by the others, whose change log is silent.
func TestPurgesReachThoseWhoDidNotHearThem(t *testing.T) {
	m := remember(t, 3, "")
	now := time.Now().UnixMilli()
	m.Changes.Push(fmt.Sprintf(`{"seq":2,"invalidate":{"object":"7f3a9c21e0b4d655","bucket":3,"time":%d}}`, now))
	k, value, _ := purgefloor.EncodeRecord(purgefloor.Floor{Object: "7f3a9c21e0b4d655", Time: now})
	for i := range 3 {
		m.Until(soon, "it is known", func() error {
			t, err := m.ask(i, AskRead, replication.WriteConcern{}, replication.Record{Kind: purgefloor.KindID, Key: k})
			if err == nil && (len(t.Records) != 1 || string(t.Records[0].Value) != string(value)) {
				err = fmt.Errorf("%+v", t.Records)
			}
			return err
		})
	}
	m.Changes.Close() // silent for all
	k2, value2, _ := purgefloor.EncodeRecord(purgefloor.Floor{Object: "another", Time: now + 5})
	before := m.purges()
	need.Of(m.ask(0, AskWrite, two, replication.Record{Kind: purgefloor.KindID, Key: k2, Value: value2}))(t)
	m.Until(soon, "it is taken", func() error {
		n := m.purges()
		return processes.When(n != before+1, fmt.Errorf("%d after %d", n, before))
	})
}

// purges is how many the third process has learned from others.
func (m *memoryRig) purges() int64 {
	return need.Of(m.asked(2, AskCounts))(m).Counts["PurgesLearned"]
}

// Writers at one time share a save: with each its own, there were as many saves as writes.
func TestWritesShareASave(t *testing.T) {
	const writers, each = 64, 20
	folder := t.TempDir()
	f := need.Of(Open(Settings{Listen: "127.0.0.1:0", Name: "n0", Memory: &Memory{Folder: folder, Horizon: DefaultHorizon, Rate: DefaultRate}}, 1, zerolog.Nop()))(t)
	f.Kinds(replication.Kind{ID: 251, Name: "own", MaxRecords: 10_000, MaxBytes: 1 << 20, MaxRecordBytes: 100, Sync: true, MergeOrder: bytes.Compare})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx) }()
	require.Eventually(t, func() bool { return f.memory.status().Writable }, 5*time.Second, time.Millisecond)
	told := make(chan replication.Record, writers*each)
	f.memory.subscribe(251, func(all []replication.Record) {
		for _, r := range all {
			told <- r
		}
	})
	start := time.Now()
	var group errgroup.Group
	for w := range writers {
		group.Go(func() error {
			for n := range each {
				done, err := f.memory.write(251, fmt.Sprintf("%d-%d", w, n), []byte("x"), false, here)
				if err != nil {
					return err
				}
				if o := <-done; !o.Met {
					return fmt.Errorf("%+v", o)
				}
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	took := time.Since(start)
	cancel()
	require.NoError(t, <-ended)
	assert.Len(t, told, writers*each)
	s, saved, err := openStore(folder)
	require.NoError(t, err)
	assert.Len(t, saved.Records, writers*each, "what was acknowledged is on the disk")
	assert.Less(t, s.age, uint64(writers*each/4))
	t.Logf("%d writes in %v, %d saves", writers*each, took, s.age)
	require.NoError(t, s.close())
}

// What is declared and put in order is agreed: it outlasts all processes, is the same from all, and a command of an older epoch is refused.
func TestTheLogKeepsWhatChannelsAgreeOn(t *testing.T) {
	d := duty(t, 4, 3)
	k := need.Of(ParseKeys(d.keys[-1]))(t)
	agree := func(at int, c channel.Command) (why string) {
		d.Until(soon, "the log takes it or says why not", func() error {
			told, err := askAt(context.Background(), d.Processes[at].Fleet, k, ask{What: AskCommand, Channels: &c})
			why = told.Refused
			return err
		})
		return why
	}
	has := func(at int, next uint64) {
		d.Until(soon, fmt.Sprintf("n%d has it", at), func() error {
			told, err := askAt(context.Background(), d.Processes[at].Fleet, k, ask{What: AskChannels, Duty: "orders"})
			if err == nil && (len(told.Channels.Sequences) != 1 || told.Channels.Sequences[0].NextOffset != next || len(told.Channels.Declared) != 1) {
				err = fmt.Errorf("%+v", told.Channels)
			}
			return err
		})
	}
	orders := channel.Declaration{Name: "orders", Generation: 1, Order: channel.Total, AllowGaps: true, RetainedEntries: 100, RetainedBytes: 1 << 20, RetainedSeconds: 600, OrderWait: 2}
	assert.Empty(t, agree(3, channel.Command{Declare: &orders}))
	assert.Contains(t, agree(0, channel.Command{Declare: &orders}), "generation")
	entry := channel.Entry{Channel: "orders", Writer: "w\xfe", Key: "\xff", Number: 1, Body: []byte("first")} // of any bytes: what a voter can't read would end the log
	assert.Empty(t, agree(1, channel.Command{Channel: "orders", Epoch: 5, Entries: []channel.Entry{entry}}))
	assert.Empty(t, agree(2, channel.Command{Channel: "orders", Epoch: 5, Entries: []channel.Entry{entry}}), "it comes twice and counts once")
	assert.Contains(t, agree(1, channel.Command{Channel: "orders", Epoch: 4}), "epoch")
	for i := range 4 {
		has(i, 2)
	}
	d.again(d.all()...)
	d.whole()
	has(3, 2)
	assert.Empty(t, agree(3, channel.Command{Channel: "orders", Epoch: 6, ReplicatedThrough: 1}))
}
