// Package variants drives the module of the same name in the way of a GET: a lock around it, that several shards share, and the names
// by which hosts and operators know what it numbers. It decides nothing.
package variants

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"elderwall/control"
	"elderwall/fleet/variants"
	"elderwall/internal/lines"
	"elderwall/internal/node"
)

const nameSlots = 1 << 13 // names of objects by class that are at hand; others are made anew, 16 bytes each

// Settings is what an operator declares.
type Settings struct {
	Module variants.Settings
	Fields []string // by delivery service, what names the class to a host; "" for none
}

// Stage is the module with its lock.
type Stage struct {
	settings Settings
	services []service
	most     int // classes of a service
	places   int // beside a class's own

	mu     sync.Mutex // of what follows
	module *variants.Module
	names  []name
}

// service is how a delivery service's classes are told.
type service struct {
	proof variants.Proof // 0 where nothing is declared
	names []string
	pairs []string // fields of requests to hosts
}

type name struct {
	key  uint64
	text string
}

var _ node.Variants = (*Stage)(nil)

// New makes a stage, or names all that is wrong with the settings.
func New(s Settings) (*Stage, error) {
	module, err := variants.New(s.Module)
	if err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	st := &Stage{settings: s, module: module, names: make([]name, nameSlots)}
	for i, of := range s.Module.Services {
		v := service{names: of.Classes}
		if len(of.Classes) > 0 && of.Repeats {
			v.proof = of.Proof
			st.most, st.places = max(st.most, len(of.Classes)), max(st.places, of.Places())
		}
		for _, class := range of.Classes {
			pair := ""
			if i < len(s.Fields) && s.Fields[i] != "" {
				pair = s.Fields[i] + "=" + class
			}
			v.pairs = append(v.pairs, pair)
		}
		st.services = append(st.services, v)
	}
	return st, nil
}

// object is what the module knows of a GET's object by, with its own number.
func object(in *control.GET, number uint64) variants.Object {
	return variants.Object{Service: in.Service, Object: number, Part: in.Part, Group: in.Group}
}

// parse reads the number of an object's name, 16 hex digits in small letters as fronts check.
func parse(object string) (number uint64, ok bool) {
	for i := range len(object) {
		switch d := object[i]; {
		case d-'0' < 10:
			number = number<<4 | uint64(d-'0')
		case d-'a' < 6:
			number = number<<4 | uint64(d-'a'+10)
		default:
			return 0, false
		}
	}
	return number, len(object) == 16
}

// of is a delivery service's, nil where none are declared.
func (s *Stage) of(service int) *service {
	if service < 0 || service >= len(s.services) || s.services[service].proof == 0 {
		return nil
	}
	return &s.services[service]
}

// Key is node.Variants.
func (s *Stage) Key(now float64, in *control.GET, device string) (v node.Variant, text string, ok bool) {
	of := s.of(in.Service)
	if of == nil {
		return v, "", false
	}
	class := int16(slices.Index(of.names, device))
	number, ok := parse(in.Object)
	if class < 0 || !ok {
		return v, "", false
	}
	v = node.Variant{Number: number, Own: class, Asked: class, Declared: true, Tagged: of.proof == variants.ByTag}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.module.Key(now, object(in, number), int(class))
	v.Asked, v.Beside, v.Presumed, v.Told = int16(k.Class), int16(k.Beside), k.Presume, k.Told
	return v, s.name(in.Object, number, int(v.Asked), k.Beside), true
}

// Own is node.Variants.
func (s *Stage) Own(in *control.GET, v node.Variant) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.name(in.Object, v.Number, int(v.Own), 0)
}

// name is an object's by a class and place.
func (s *Stage) name(as string, number uint64, class, beside int) string {
	key := variants.PlaceOf(number, class, beside)
	if key == number {
		return as
	}
	n := &s.names[key%nameSlots]
	if n.key != key || n.text == "" {
		*n = name{key, text(key)}
	}
	return n.text
}

func text(key uint64) string { return fmt.Sprintf("%016x", key) }

// Field is node.Variants.
func (s *Stage) Field(service int, class int16) (pair, name string) {
	of := s.of(service)
	if of == nil || int(class) >= len(of.names) {
		return "", ""
	}
	return of.pairs[class], of.names[class]
}

// Proof is node.Variants.
func (s *Stage) Proof(service int, p lines.Proofs, body []byte) uint64 {
	of := s.of(service)
	switch {
	case of == nil:
		return 0
	case of.proof == variants.ByTag:
		return p.Tag
	case of.proof == variants.ByDigest:
		return p.Digest
	case body == nil:
		return 0
	}
	return max(1, xxhash.Sum64(body))
}

// answer is evidence as the module takes it.
func answer(in *control.GET, v node.Variant, e node.Evidence) variants.Answer {
	return variants.Answer{Object: object(in, v.Number), Class: int(e.Asked), Beside: int(e.Beside), Host: e.Host, Proof: e.Proof,
		Generation: variants.Generation{Purge: e.Told, Version: e.Version}, Known: e.Known}
}

// Answered is node.Variants.
func (s *Stage) Answered(now float64, in *control.GET, v node.Variant, e node.Evidence) (fits bool) {
	a := answer(in, v, e)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.module.Answered(now, a)
	return v.Own == e.Asked || s.fits(now, v, &a)
}

// Fits is node.Variants.
func (s *Stage) Fits(now float64, in *control.GET, v node.Variant, e node.Evidence) bool {
	if v.Own == e.Asked {
		return true
	}
	a := answer(in, v, e)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fits(now, v, &a)
}

func (s *Stage) fits(now float64, v node.Variant, a *variants.Answer) bool {
	return s.module.Fits(now, int(v.Own), variants.Key{Class: a.Class, Presume: v.Presumed}, a)
}

// Purged is node.Variants.
func (s *Stage) Purged(time int64, order uint64, object string, group int) (names []string) {
	key, ok := parse(object)
	if object != "" && !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := uint64(max(0, time))
	for i := range s.services {
		switch {
		case s.of(i) == nil:
		case object == "":
			s.module.Purged(i, 0, group, at, order)
		default:
			s.module.Purged(i, key, -1, at, order)
		}
	}
	if object == "" {
		return nil
	}
	for beside := range s.places + 1 {
		for c := range s.most {
			if c+beside > 0 {
				names = append(names, text(variants.PlaceOf(key, c, beside)))
			}
		}
	}
	return names
}

// Facts takes what the other dispatchers are to be told, the oldest first.
func (s *Stage) Facts(most int) []variants.Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.Facts(most)
}

// Learn takes what another dispatcher told.
func (s *Stage) Learn(now float64, facts []variants.Fact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.module.Learn(now, facts)
}

// Notices takes the joins and splits since it was last asked.
func (s *Stage) Notices() []variants.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.Notices()
}

// Peers tells how many dispatchers share their facts, this one too.
func (s *Stage) Peers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.module.Peers(n)
}

// Keep tells whether a fact that was told is still of use; own for one that this dispatcher told.
func (s *Stage) Keep(f *variants.Fact, own bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.Keeps(f, own)
}
