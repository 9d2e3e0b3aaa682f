// Package variantfilter drives the module core/cluster/variant in the way of a GET: locks around it, that several shards share, and the names
// by which hosts and operators know what it numbers. It decides nothing.
package variantfilter

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"elderwall/core/cluster/variant"
	"elderwall/core/routing"
	"elderwall/internal/dispatcher"
	"elderwall/internal/hostproto"
)

const nameSlots = 1 << 13 // names of objects by class that are at hand; others are made anew, 16 bytes each

// Settings is what an operator declares.
type Settings struct {
	Module variant.Settings
	Fields []string // by delivery service, what names the class to a host; "" for none
}

// Stage is the module, in parts by the number of the object. Where something is presumed there is one: that counts objects of all.
type Stage struct {
	settings Settings
	services []service
	most     int // classes of a service
	places   int // beside a class's own
	parts    []part
	names    []atomic.Pointer[name]
	turn     atomic.Uint32 // which part's facts are taken first
}

// part is a module with its lock, in a line of memory of its own.
type part struct {
	sync.Mutex
	module *variant.Module
	_      [48]byte
}

// service is how a delivery service's classes are told.
type service struct {
	proof variant.ProofKind // 0 where nothing is declared
	names []string
	pairs []string // fields of requests to hosts
}

type name struct {
	key  uint64
	text string
}

var _ dispatcher.Variants = (*Stage)(nil)

// New makes a stage, or names all that is wrong with the settings.
func New(s Settings) (*Stage, error) {
	st := &Stage{settings: s, parts: make([]part, variant.Partitions(&s.Module)), names: make([]atomic.Pointer[name], nameSlots)}
	of := s.Module
	of.Partitions, of.MaxObjects = len(st.parts), of.MaxObjects/len(st.parts)
	for i := range st.parts {
		module, err := variant.New(of)
		if err != nil {
			return nil, fmt.Errorf("variants: %w", err)
		}
		st.parts[i].module = module
	}
	for i, of := range s.Module.Services {
		v := service{names: of.Classes}
		if len(of.Classes) > 0 && of.Idempotent {
			v.proof = of.Proof
			st.most, st.places = max(st.most, len(of.Classes)), max(st.places, of.MaxAlternate())
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

// part is the one of an object's number.
func (s *Stage) part(number uint64) *part { return &s.parts[variant.PartitionOf(number, len(s.parts))] }

// all does something with each part.
func (s *Stage) all(do func(m *variant.Module)) {
	for i := range s.parts {
		s.parts[i].do(do)
	}
}

func (p *part) do(do func(m *variant.Module)) {
	p.Lock()
	defer p.Unlock()
	do(p.module)
}

// object is what the module knows of a GET's object by, with its own number.
func object(in *routing.Request, number uint64) variant.Object {
	return variant.Object{Service: in.Service, ID: number, Part: in.Part, Group: in.Group}
}

// digits are the values of hex digits in small letters, 0x80 for what is none. A table: which digits are letters can't be foretold.
var digits = func() (d [256]uint8) {
	for i := range d {
		d[i] = 0x80
	}
	for i, c := range []byte("0123456789abcdef") {
		d[c] = uint8(i)
	}
	return d
}()

// parse reads the number of an object's name, 16 hex digits in small letters as fronts check.
func parse(object string) (number uint64, ok bool) {
	if len(object) != 16 {
		return 0, false
	}
	spoilt := uint8(0)
	for i := range 16 {
		d := digits[object[i]]
		spoilt |= d
		number = number<<4 | uint64(d&15)
	}
	return number, spoilt < 0x80
}

// of is a delivery service's, nil where none are declared.
func (s *Stage) of(service int) *service {
	if service < 0 || service >= len(s.services) || s.services[service].proof == 0 {
		return nil
	}
	return &s.services[service]
}

// Key is dispatcher.Variants.
func (s *Stage) Key(now float64, in *routing.Request, device string) (v dispatcher.Variant, text string, ok bool) {
	of := s.of(in.Service)
	if of == nil {
		return v, "", false
	}
	class := int16(slices.Index(of.names, device))
	number, ok := parse(in.Object)
	if class < 0 || !ok {
		return v, "", false
	}
	v = dispatcher.Variant{Number: number, Own: class, Asked: class, Declared: true, Tagged: of.proof == variant.ProofByTag}
	p := s.part(number)
	p.Lock()
	k := p.module.Key(now, object(in, number), int(class))
	p.Unlock()
	v.Asked, v.Beside, v.Presumed, v.Told = int16(k.Class), int16(k.Alternate), k.Presumed, k.Purge
	return v, s.name(in.Object, number, int(v.Asked), k.Alternate), true
}

// Own is dispatcher.Variants.
func (s *Stage) Own(in *routing.Request, v dispatcher.Variant) string {
	return s.name(in.Object, v.Number, int(v.Own), 0)
}

// name is an object's by a class and place.
func (s *Stage) name(as string, number uint64, class, beside int) string {
	key := variant.PlacementKey(number, class, beside)
	if key == number {
		return as
	}
	slot := &s.names[key%nameSlots]
	n := slot.Load()
	if n == nil || n.key != key {
		n = &name{key, text(key)}
		slot.Store(n)
	}
	return n.text
}

func text(key uint64) string {
	var b [16]byte
	for i := range b {
		b[i] = "0123456789abcdef"[key>>(60-4*i)&15]
	}
	return string(b[:])
}

// Field is dispatcher.Variants.
func (s *Stage) Field(service int, class int16) (pair, name string) {
	of := s.of(service)
	if of == nil || int(class) >= len(of.names) {
		return "", ""
	}
	return of.pairs[class], of.names[class]
}

// Proof is dispatcher.Variants.
func (s *Stage) Proof(service int, p hostproto.Proofs, body []byte) uint64 {
	of := s.of(service)
	switch {
	case of == nil:
		return 0
	case of.proof == variant.ProofByTag:
		return p.Tag
	case of.proof == variant.ProofByDigest:
		return p.Digest
	case body == nil:
		return 0
	}
	return max(1, xxhash.Sum64(body))
}

// answer is evidence as the module takes it.
func answer(in *routing.Request, v dispatcher.Variant, e dispatcher.Evidence) variant.Answer {
	return variant.Answer{
		Object: object(in, v.Number), Class: int(e.Asked), Alternate: int(e.Beside), Host: e.Host, ContentHash: e.Proof,
		Generation: variant.Generation{Purge: e.Told, Version: e.Version}, KnownEvent: e.Known,
	}
}

// Answered is dispatcher.Variants.
func (s *Stage) Answered(now float64, in *routing.Request, v dispatcher.Variant, e dispatcher.Evidence) (fits bool) {
	a := answer(in, v, e)
	p := s.part(v.Number)
	p.Lock()
	p.module.RecordAnswer(now, a)
	fits = v.Own == e.Asked || p.fits(now, v, &a)
	p.Unlock()
	return fits
}

// Fits is dispatcher.Variants.
func (s *Stage) Fits(now float64, in *routing.Request, v dispatcher.Variant, e dispatcher.Evidence) bool {
	if v.Own == e.Asked {
		return true
	}
	a := answer(in, v, e)
	p := s.part(v.Number)
	p.Lock()
	defer p.Unlock()
	return p.fits(now, v, &a)
}

func (p *part) fits(now float64, v dispatcher.Variant, a *variant.Answer) bool {
	return p.module.MayServe(now, int(v.Own), variant.Key{Class: a.Class, Presumed: v.Presumed}, a)
}

// Purged is dispatcher.Variants.
func (s *Stage) Purged(time int64, order uint64, object string, group int) (names []string) {
	key, ok := parse(object)
	if object != "" && !ok {
		return nil
	}
	at := uint64(max(0, time))
	for i := range s.services {
		switch {
		case s.of(i) == nil:
		case object == "":
			s.all(func(m *variant.Module) { m.RecordPurge(i, 0, group, at, order) })
		default:
			s.part(key).do(func(m *variant.Module) { m.RecordPurge(i, key, -1, at, order) })
		}
	}
	if object == "" {
		return nil
	}
	for beside := range s.places + 1 {
		for c := range s.most {
			if c+beside > 0 {
				names = append(names, text(variant.PlacementKey(key, c, beside)))
			}
		}
	}
	return names
}

// Facts takes what the other dispatchers are to be told, the oldest of each part first.
func (s *Stage) Facts(most int) (all []variant.Fact) {
	first := int(s.turn.Add(1))
	for n := range s.parts {
		left := len(s.parts) - n
		s.parts[(first+n)%len(s.parts)].do(func(m *variant.Module) { all = append(all, m.Facts((most-len(all)+left-1)/left)...) })
	}
	return all
}

// Learn takes what another dispatcher told.
func (s *Stage) Learn(now float64, facts []variant.Fact) {
	by := map[*part][]variant.Fact{}
	for _, f := range facts {
		p := s.part(f.Object.ID)
		by[p] = append(by[p], f)
	}
	for p, of := range by {
		p.do(func(m *variant.Module) { m.Learn(now, of) })
	}
}

// Notices takes the joins and splits since it was last asked.
func (s *Stage) Notices() (all []variant.Notice) {
	s.all(func(m *variant.Module) { all = append(all, m.Notices()...) })
	return all
}

// Peers tells how many dispatchers share their facts, this one too.
func (s *Stage) Peers(n int) {
	s.all(func(m *variant.Module) { m.SetDispatchers(n) })
}

// Beat takes the answer to a question for a beat, of one process as for all parts. Those that it has not reached yet know the beats before it.
func (s *Stage) Beat(sent, heard float64, b variant.Stamp) {
	s.all(func(m *variant.Module) { m.RecordStamp(sent, heard, b) })
}

// Keep tells whether a fact that was told is still of use; own for one that this dispatcher told.
func (s *Stage) Keep(f *variant.Fact, own bool) (keeps bool) {
	s.part(f.Object.ID).do(func(m *variant.Module) { keeps = m.IsUsefulFact(f, own) })
	return keeps
}
