package contract

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Store keeps values by key over restarts.
type Store interface {
	// Load gives all that is kept, as of one save.
	Load() (map[string][]byte, error)
	// Save does changes, all or none; nil takes a value out. Synced, they are kept when it returns.
	Save(changes map[string][]byte, sync bool) error
	// Sync has all that was saved kept.
	Sync() error
	Close() error
}

// Stores is a kind of store, as its test opens it.
type Stores struct {
	Name string
	// Open opens what a folder keeps; age tells a newer state from an older one. What is spoilt is an error.
	Open func(folder string) (s Store, age uint64, err error)
	// File is the one that holds it all.
	File func(folder string) string
	// Longest is the bytes of a key at most.
	Longest int
	// Exceptions, each with its reason; "" for none.
	Shared string // why a second one may open it
	Dies   string // why nothing outlives its process
	Any    string // why a key may be of any length
}

const (
	childStore  = "ELDERWALL_CONTRACT_STORE" // this program is a child that saves
	childFolder = "ELDERWALL_CONTRACT_FOLDER"
	childSeed   = "ELDERWALL_CONTRACT_SEED"
	childFull   = "ELDERWALL_CONTRACT_FULL" // saves so many, and then finds the disk full
	mostSaves   = 400
	kills       = 3
	flips       = 40
	cuts        = 8
	readers     = 4
)

// change is what the nth save changes, from 1: several values, among them one that is taken out and one that is long now and then.
func change(seed, n uint64) map[string][]byte {
	chance := rand.New(rand.NewPCG(seed, n))
	c := map[string][]byte{"number": []byte(fmt.Sprint(n))}
	for range 1 + chance.IntN(4) {
		length := chance.IntN(60)
		if chance.IntN(16) == 0 {
			length = chance.IntN(6000)
		}
		value := make([]byte, length)
		for i := range value {
			value[i] = byte(chance.Uint32())
		}
		c[fmt.Sprint("key-", chance.IntN(40))] = value
	}
	if n%3 == 0 {
		c[fmt.Sprint("key-", chance.IntN(40))] = nil
	}
	return c
}

// after is what is kept after so many saves.
func after(seed, n uint64) map[string][]byte {
	all := map[string][]byte{}
	for i := uint64(1); i <= n; i++ {
		apply(all, change(seed, i))
	}
	return all
}

func apply(all, c map[string][]byte) {
	for k, v := range c {
		if v == nil {
			delete(all, k)
		} else {
			all[k] = v
		}
	}
}

func same(a, b map[string][]byte) bool { return maps.EqualFunc(a, b, bytes.Equal) }

// saves tells after how many saves a state is, and that it is whole.
func saves(seed uint64, all map[string][]byte) (uint64, error) {
	n := uint64(0)
	if raw, ok := all["number"]; ok {
		var err error
		if n, err = strconv.ParseUint(string(raw), 10, 32); err != nil || n > 10*mostSaves {
			return 0, errors.New("its number was never saved")
		}
	}
	if !same(all, after(seed, n)) {
		return 0, fmt.Errorf("not what was saved by save %d", n)
	}
	return n, nil
}

// Child has the program be a child of Hold's and end, where it was started as one. A TestMain calls it first, with all that Hold is called for.
func Child(all ...Stores) {
	name := os.Getenv(childStore)
	for _, k := range all {
		if name == "" || k.Name != name {
			continue
		}
		seed, _ := strconv.ParseUint(os.Getenv(childSeed), 10, 64)
		full, _ := strconv.ParseUint(os.Getenv(childFull), 10, 64)
		if err := k.child(os.Getenv(childFolder), seed, full); err != nil {
			fmt.Println("error", err)
		}
		os.Exit(0)
	}
	if name != "" {
		fmt.Println("error no store is named", name)
		os.Exit(1)
	}
}

// child saves and acknowledges, from what is there on.
func (k *Stores) child(folder string, seed, full uint64) error {
	s, _, err := k.Open(folder)
	if err != nil {
		return err
	}
	all, err := s.Load()
	if err != nil {
		return err
	}
	n, err := saves(seed, all)
	if err != nil {
		return err
	}
	for most := n + mostSaves; n < most; {
		if full > 0 && n == full {
			if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Max: unix.RLIM_INFINITY}); err != nil {
				return err
			}
			if s.Save(change(seed, n+1), true) == nil {
				return errors.New("a full disk takes more")
			}
			if all, err = s.Load(); err != nil || !same(all, after(seed, n)) {
				return fmt.Errorf("after a save that failed: %w, %d values", err, len(all))
			}
			fmt.Println("full")
			return nil
		}
		n++
		if err := s.Save(change(seed, n), n%4 != 0); err != nil {
			return err
		}
		if n%4 == 0 {
			if err := s.Sync(); err != nil {
				return err
			}
		}
		fmt.Println(n)
	}
	return nil
}

// run runs a child until it has acknowledged so much and kills it then, or to its end. It gives what was acknowledged last.
func (k *Stores) run(t testing.TB, folder string, seed, until uint64, wait time.Duration, full uint64) (acked uint64, said string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childStore+"="+k.Name, childFolder+"="+folder, fmt.Sprint(childSeed, "=", seed), fmt.Sprint(childFull, "=", full))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	late := time.AfterFunc(4*within, func() { _ = cmd.Process.Kill() })
	defer late.Stop()
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		n, err := strconv.ParseUint(lines.Text(), 10, 64)
		if err != nil {
			said = lines.Text()
			continue
		}
		if acked = n; until > 0 && n >= until {
			until = 0
			time.AfterFunc(wait, func() { _ = cmd.Process.Kill() }) // what it acknowledges meanwhile counts too
		}
	}
	_ = cmd.Wait()
	return acked, said
}

// Hold runs the suite.
func (k Stores) Hold(t testing.TB) {
	t.Helper()
	for _, part := range []func(testing.TB){k.keeps, k.whole, k.bound, k.spoilt, k.older, k.read, k.taken, k.killed, k.full} {
		if part(t); t.Failed() {
			return
		}
	}
}

func (k *Stores) open(t testing.TB, folder string) (Store, uint64) {
	t.Helper()
	s, age, err := k.Open(folder)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return s, age
}

// holds checks what a store has.
func (k *Stores) holds(t testing.TB, s Store, seed, n uint64, when string) {
	t.Helper()
	all, err := s.Load()
	if err != nil {
		t.Fatalf("%s: %v", when, err)
	}
	if got, err := saves(seed, all); err != nil || got != n {
		t.Fatalf("%s: %d saves are kept of %d, %v", when, got, n, err)
	}
}

func (k *Stores) fill(t testing.TB, s Store, seed, from, to uint64) {
	t.Helper()
	for n := from; n <= to; n++ {
		if err := s.Save(change(seed, n), true); err != nil {
			t.Fatalf("save %d: %v", n, err)
		}
	}
}

// keeps: what is saved is read, now and after it was closed; nothing of it is the caller's memory.
func (k *Stores) keeps(t testing.TB) {
	folder := t.TempDir()
	s, _ := k.open(t, folder)
	k.holds(t, s, 1, 0, "new")
	k.fill(t, s, 1, 1, 50)
	k.holds(t, s, 1, 50, "saved")
	for _, v := range must(s.Load()) {
		for i := range v {
			v[i]++
		}
	}
	k.holds(t, s, 1, 50, "what was read is changed by its reader")
	c := change(1, 51)
	if err := s.Save(c, false); err != nil {
		t.Fatal(err)
	}
	for _, v := range c {
		for i := range v {
			v[i]++
		}
	}
	k.holds(t, s, 1, 51, "what was saved is changed by its writer")
	if err := errors.Join(s.Sync(), s.Close()); err != nil {
		t.Fatal(err)
	}
	if k.Dies == "" {
		s, _ = k.open(t, folder)
		k.holds(t, s, 1, 51, "opened again")
		_ = s.Close()
	}
}

// whole: a save of many is one.
func (k *Stores) whole(t testing.TB) {
	folder := t.TempDir()
	s, _ := k.open(t, folder)
	defer func() { _ = s.Close() }()
	many := map[string][]byte{}
	for i := range 2000 {
		many[fmt.Sprint("key-", i)] = []byte(fmt.Sprint(i))
	}
	if err := s.Save(many, true); err != nil || !same(must(s.Load()), many) {
		t.Fatalf("2,000 values at once: %v", err)
	}
}

// bound: what is beyond a bound is refused, all that it came with too, and takes nothing away.
func (k *Stores) bound(t testing.TB) {
	if k.Any != "" {
		return
	}
	folder := t.TempDir()
	s, _ := k.open(t, folder)
	k.fill(t, s, 9, 1, 20)
	c := change(9, 21)
	c[strings.Repeat("k", k.Longest+1)] = []byte("v")
	if s.Save(c, true) == nil {
		t.Fatalf("a key of %d bytes is taken", k.Longest+1)
	}
	k.holds(t, s, 9, 20, "after what was too long")
	k.fill(t, s, 9, 21, 25)
	c = map[string][]byte{"number": []byte("25"), strings.Repeat("k", k.Longest): []byte("v")}
	if err := s.Save(c, true); err != nil {
		t.Fatalf("a key of %d bytes: %v", k.Longest, err)
	}
	_ = s.Close()
	if k.Dies == "" {
		s, _ = k.open(t, folder)
		defer func() { _ = s.Close() }()
		if all := after(9, 25); !same(must(s.Load()), merged(all, c)) {
			t.Fatal("the longest key is not kept")
		}
	}
}

func merged(all, c map[string][]byte) map[string][]byte { apply(all, c); return all }

// spoilt: no byte of the file is believed that was flipped, and no end that is missing: the state is as it was, or the opening an error.
func (k *Stores) spoilt(t testing.TB) {
	if k.Dies != "" {
		return
	}
	folder := t.TempDir()
	s, _ := k.open(t, folder)
	k.fill(t, s, 2, 1, 60)
	_ = s.Close()
	raw, err := os.ReadFile(k.File(folder))
	if err != nil {
		t.Fatal(err)
	}
	chance := rand.New(rand.NewPCG(3, 3))
	try := func(what string, b []byte) (told bool) {
		there := t.TempDir()
		if err := errors.Join(os.MkdirAll(parent(k.File(there)), 0o700), os.WriteFile(k.File(there), b, 0o600)); err != nil {
			t.Fatal(err)
		}
		s, _, err := k.Open(there)
		if err != nil {
			return true
		}
		defer func() { _ = s.Close() }()
		all, err := s.Load()
		if err == nil && !same(all, after(2, 60)) {
			t.Fatalf("%s: believed", what)
		}
		return err != nil
	}
	told := 0
	for range flips {
		at := chance.IntN(len(raw))
		for raw[at] == 0 { // what is not empty
			at = chance.IntN(len(raw))
		}
		b := bytes.Clone(raw)
		b[at] ^= 1 << chance.IntN(8)
		if try(fmt.Sprintf("byte %d flipped", at), b) {
			told++
		}
	}
	for range cuts {
		at := 1 + chance.IntN(len(raw)-1)
		if try(fmt.Sprintf("cut off at byte %d", at), raw[:at]) {
			told++
		}
		b := bytes.Clone(raw)
		clear(b[at:])
		if try(fmt.Sprintf("empty from byte %d on", at), b) {
			told++
		}
	}
	if told == 0 {
		t.Fatal("nothing that was spoilt is told")
	}
}

// older: a copy that is put back opens as it was, and tells that it is older.
func (k *Stores) older(t testing.TB) {
	if k.Dies != "" {
		return
	}
	folder := t.TempDir()
	s, _ := k.open(t, folder)
	k.fill(t, s, 4, 1, 10)
	_ = s.Close()
	copied, err := os.ReadFile(k.File(folder))
	if err != nil {
		t.Fatal(err)
	}
	s, _ = k.open(t, folder)
	k.fill(t, s, 4, 11, 20)
	_ = s.Close()
	s, newer := k.open(t, folder)
	_ = s.Close()
	if err := os.WriteFile(k.File(folder), copied, 0o600); err != nil {
		t.Fatal(err)
	}
	s, age := k.open(t, folder)
	defer func() { _ = s.Close() }()
	if age >= newer {
		t.Fatalf("an older copy tells %d, a newer one told %d", age, newer)
	}
	k.holds(t, s, 4, 10, "an older copy")
}

// read: readers beside a writer see one save or the next, never back.
func (k *Stores) read(t testing.TB) {
	s, _ := k.open(t, t.TempDir())
	defer func() { _ = s.Close() }()
	var done atomic.Bool
	var all sync.WaitGroup
	wrong := make(chan error, readers)
	for range readers {
		all.Go(func() {
			for last := uint64(0); !done.Load(); {
				got, err := s.Load()
				n := uint64(0)
				if err == nil {
					n, err = saves(5, got)
				}
				if err == nil && n < last {
					err = fmt.Errorf("%d saves after %d", n, last)
				}
				if last = n; err != nil {
					wrong <- err
					return
				}
			}
		})
	}
	in(t, 4*within, "saves beside readers", func() { k.fill(t, s, 5, 1, 60) })
	done.Store(true)
	all.Wait()
	if len(wrong) > 0 {
		t.Fatalf("a reader beside the writer: %v", <-wrong)
	}
}

// taken: what another has is not opened, nor waited for without end.
func (k *Stores) taken(t testing.TB) {
	if k.Shared != "" {
		return
	}
	folder := t.TempDir()
	s, _ := k.open(t, folder)
	defer func() { _ = s.Close() }()
	in(t, within, "another opens it", func() {
		if o, _, err := k.Open(folder); err == nil {
			t.Error("two have it at a time")
			_ = o.Close()
		}
	})
}

// killed: what a process acknowledged before it was killed is there, and nothing by halves.
func (k *Stores) killed(t testing.TB) {
	if k.Dies != "" {
		return
	}
	folder, acked := t.TempDir(), uint64(0)
	chance := rand.New(rand.NewPCG(6, 6))
	for round := range kills {
		n, said := k.run(t, folder, 7, acked+1+chance.Uint64N(40), time.Duration(chance.IntN(3000))*time.Microsecond, 0)
		if n <= acked || said != "" {
			t.Fatalf("kill %d: %d were acknowledged after %d, and it said %q", round, n, acked, said)
		}
		acked = n
		s, _, err := k.Open(folder)
		if err != nil {
			t.Fatalf("killed after save %d: %v", acked, err)
		}
		all, err := s.Load()
		if err != nil {
			t.Fatalf("killed after save %d: %v", acked, err)
		}
		if n, err = saves(7, all); err != nil || n < acked || n > acked+1 {
			t.Fatalf("killed after save %d: %d are kept, %v", acked, n, err)
		}
		acked = n
		_ = s.Close()
	}
}

// full: a disk that is full is an error, and takes nothing away.
func (k *Stores) full(t testing.TB) {
	if k.Dies != "" {
		return
	}
	folder := t.TempDir()
	if n, said := k.run(t, folder, 8, 0, 0, 30); n != 30 || !strings.HasPrefix(said, "full") {
		t.Fatalf("a full disk after 30 saves: %d, it said %q", n, said)
	}
	s, _, err := k.Open(folder)
	if err != nil {
		t.Fatalf("the disk was full: %v", err)
	}
	defer func() { _ = s.Close() }()
	k.holds(t, s, 8, 30, "the disk was full")
	k.fill(t, s, 8, 31, 33)
	k.holds(t, s, 8, 33, "with room again")
}

func parent(path string) string { return path[:strings.LastIndexByte(path, '/')] }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
