package contract

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"
)

func TestMain(m *testing.M) {
	all := []Stores{plainStores("")}
	for fault := range storeFaults {
		all = append(all, plainStores(fault))
	}
	Child(all...)
	os.Exit(m.Run())
}

// storeFaults, with what finds each.
var storeFaults = map[string]string{
	"forgets what it did not write yet":     "killed",
	"believes flipped bytes":                "believed",
	"believes what was cut off":             "cut off at",
	"says nothing of a full disk":           "full disk",
	"loses all on a full disk":              "disk was full",
	"does a save by halves":                 "beside the writer",
	"shows a reader an older save":          "49 saves are kept of 50",
	"tells no age":                          "older copy",
	"is had by two":                         "two have it",
	"waits for who has it":                  "not within",
	"keeps what was taken out":              "saved",
	"gives its own memory":                  "changed by its reader",
	"keeps its writer's memory":             "changed by its writer",
	"loses the last save when it is closed": "opened again",
	"takes few values at a time":            "2,000 values",
	"takes a key of any length":             "bytes is taken",
	"takes some of what is too much":        "after what was too long",
}

const (
	plainLongest = 1000
	lockTime     = time.Second
)

// plain keeps all in one file, with a sum; it may have one fault.
type plain struct {
	folder, fault string
	mu            sync.Mutex
	lock          *os.File
	all, before   map[string][]byte
	number        uint64
	unwritten     int
}

type plainFile struct {
	Number uint64
	All    map[string][]byte
}

func plainStores(fault string) Stores {
	return Stores{
		Name: "plain, " + fault, Longest: plainLongest, File: func(folder string) string { return filepath.Join(folder, "all") },
		Open: func(folder string) (Store, uint64, error) { return openPlain(folder, fault) },
	}
}

func openPlain(folder, fault string) (Store, uint64, error) {
	p := &plain{folder: folder, fault: fault, all: map[string][]byte{}}
	var err error
	if p.lock, err = os.Create(filepath.Join(folder, "lock")); err != nil {
		return nil, 0, err
	}
	how := unix.LOCK_EX | unix.LOCK_NB
	switch fault {
	case "is had by two":
		how = unix.LOCK_SH
	case "waits for who has it":
		how = unix.LOCK_EX
	}
	end := time.Now().Add(lockTime)
	err = unix.Flock(int(p.lock.Fd()), how)
	for ; errors.Is(err, unix.EAGAIN) && time.Now().Before(end); err = unix.Flock(int(p.lock.Fd()), how) {
		time.Sleep(time.Millisecond) // a child of a test beside this one has it from its fork to its exec
	}
	if err != nil {
		return nil, 0, errors.Join(err, p.lock.Close())
	}
	raw, err := os.ReadFile(filepath.Join(folder, "all"))
	if errors.Is(err, os.ErrNotExist) {
		return p, 0, nil
	}
	text, sum, _ := bytes.Cut(raw, []byte("\n"))
	is := string(sum) == sumText(text)
	if fault == "believes what was cut off" && len(sum) == 0 { // what there is of it
		for len(text) > 0 && !json.Valid(text) {
			if i := bytes.LastIndexByte(text, ','); i > 0 {
				text = append(bytes.Clone(text[:i]), "}}"...)
				if json.Valid(text) {
					break
				}
				text = text[:i]
			} else {
				text = nil
			}
		}
		is = len(text) > 0
	}
	var in plainFile
	if err == nil && (is || fault == "believes flipped bytes") {
		err = json.Unmarshal(text, &in)
	} else if err == nil {
		err = errors.New("spoilt")
	}
	if err != nil {
		return nil, 0, errors.Join(err, p.lock.Close())
	}
	if maps.Copy(p.all, in.All); fault != "tells no age" {
		p.number = in.Number
	}
	return p, p.number, nil
}

func sumText(b []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return fmt.Sprintf("%016x", h.Sum64())
}

func (p *plain) Load() (map[string][]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.all
	if p.fault == "shows a reader an older save" && p.number%2 == 0 && p.before != nil {
		all = p.before
	}
	out := map[string][]byte{}
	for k, v := range all {
		if out[k] = v; p.fault != "gives its own memory" {
			out[k] = bytes.Clone(v)
		}
	}
	return out, nil
}

func (p *plain) Save(changes map[string][]byte, _ bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == "takes few values at a time" && len(changes) > 1000 {
		return errors.New("too many")
	}
	all := maps.Clone(p.all)
	for k := range changes {
		if len(k) <= plainLongest || p.fault == "takes a key of any length" {
			continue
		}
		if p.fault == "takes some of what is too much" {
			p.all["number"] = changes["number"]
		}
		return errors.New("too long")
	}
	for k, v := range changes {
		if v == nil && p.fault == "keeps what was taken out" {
			continue
		}
		if p.fault != "keeps its writer's memory" && v != nil {
			v = append([]byte{}, v...)
		}
		apply(all, map[string][]byte{k: v})
		if p.fault == "does a save by halves" {
			p.all = maps.Clone(all)
			p.mu.Unlock()
			_, _ = os.Stat(p.folder) // a moment
			p.mu.Lock()
		}
	}
	if p.unwritten++; p.fault != "forgets what it did not write yet" {
		if err := p.write(all); err != nil {
			return err
		}
	}
	p.before, p.all = p.all, all
	p.number++
	return nil
}

func (p *plain) write(all map[string][]byte) error {
	p.unwritten = 0
	text, _ := json.Marshal(plainFile{p.number + 1, all})
	at := filepath.Join(p.folder, "all")
	raw := append(append(text, '\n'), sumText(text)...)
	err := os.WriteFile(at+".new", raw, 0o600)
	if err == nil {
		err = os.Rename(at+".new", at)
	}
	if err != nil && p.fault == "loses all on a full disk" {
		_ = os.Truncate(at, 0)
	}
	if p.fault == "says nothing of a full disk" {
		return nil
	}
	return err
}

func (p *plain) Sync() error { return nil }

func (p *plain) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == "loses the last save when it is closed" && p.before != nil {
		p.number--
		_ = p.write(p.before)
	} else if p.unwritten > 0 && p.number > 0 {
		p.number--
		_ = p.write(p.all)
	}
	return p.lock.Close()
}

func TestStoresWithFaultsAreRefused(t *testing.T) {
	t.Run("none", func(t *testing.T) { plainStores("").Hold(t) })
	t.Run("in memory", func(t *testing.T) {
		Stores{
			Dies: "it is kept nowhere", Shared: "each is one of its own", Any: "it is the caller's memory",
			Open: func(string) (Store, uint64, error) { return &memory{}, 0, nil },
		}.Hold(t)
	})
	for fault, finds := range storeFaults {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			words := Refused(t, plainStores(fault).Hold)
			if assert.NotEmpty(t, words, "it passes") {
				assert.Contains(t, words[0], finds)
			}
		})
	}
}

// memory keeps all until it is closed.
type memory struct {
	mu  sync.Mutex
	all map[string][]byte
}

func (m *memory) Load() (map[string][]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string][]byte{}
	for k, v := range m.all {
		all[k] = append([]byte{}, v...)
	}
	return all, nil
}

func (m *memory) Save(changes map[string][]byte, _ bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.all == nil {
		m.all = map[string][]byte{}
	}
	for k, v := range changes {
		if v != nil {
			v = append([]byte{}, v...)
		}
		apply(m.all, map[string][]byte{k: v})
	}
	return nil
}

func (m *memory) Sync() error  { return nil }
func (m *memory) Close() error { return nil }
