// Package replication keeps records of several kinds the same at every dispatcher: deltas by need, digests of ranges where those are
// gone, whole snapshots for whoever was away for longer. It is a state machine with no I/O, no clock and no goroutine.
// Messages come by Step, time by Tick; what is to be kept, sent and told is taken by Ready. internal/cluster drives it over sockets and a disk,
// emulator without any. It knows no kind by name: kinds are handed to it with bound and law.
package replication

import (
	"cmp"
	"errors"
)

// Dot names one write: by whom, in which of the writer's eras, and its number within that from 1. An era rises with each start of a writer.
type Dot struct {
	Writer string `cbor:"1,keyasint" json:"writer"`
	Era    uint64 `cbor:"2,keyasint" json:"era"`
	Number uint64 `cbor:"3,keyasint" json:"number"`
}

// Compare orders dots: it settles what no law does, and says nothing about which write was later.
func (d Dot) Compare(o Dot) int {
	return cmp.Or(cmp.Compare(d.Era, o.Era), cmp.Compare(d.Number, o.Number), cmp.Compare(d.Writer, o.Writer))
}

// Record is what stands for a key of a kind. Its value is never changed: who has it shares it.
type Record struct {
	Kind  uint8  `cbor:"1,keyasint" json:"Kind"`
	Key   string `cbor:"2,keyasint" json:"Key"`
	Value []byte `cbor:"3,keyasint,omitempty" json:"Value"`
	Dead  bool   `cbor:"4,keyasint,omitempty" json:"Dead"` // deleted: a tombstone
	Dot   Dot    `cbor:"5,keyasint" json:"Dot"`
}

// Kind is what records of one kind have in common.
type Kind struct {
	ID      uint8
	Name    string
	Records int  // at most; tombstones count
	Bytes   int  // of keys and values, at most
	Longest int  // bytes of one key and value
	Sync    bool // what is acknowledged is synced to the disk
	// Law orders two values of one key: the higher one stands, wherever the two meet. Equal ones are settled by a tombstone over none, then
	// by the bytes, then by the dot: so that it is commutative, associative and idempotent whatever a Law says, if it is an order.
	Law func(a, b []byte) int
	// Check tells what is wrong with a record from outside; nil takes all.
	Check func(key string, value []byte) error
}

// Level is how sure a write is.
type Level uint8

// The levels.
const (
	Here     Level = iota // kept by the writer
	Copies                // kept by so many dispatchers, in as many zones as there are up to that
	Majority              // kept by more than half of the last agreed fleet
)

func (l Level) String() string { return [...]string{"here", "copies", "majority"}[min(l, Majority)] }

// Sure is how sure a writer wants a write to be, and within which time it is to hear (s).
type Sure struct {
	Level  Level   `cbor:"Level"`
	Copies int     `cbor:"Copies"` // with the writer; of Copies
	Within float64 `cbor:"Within"`
}

// Outcome tells how a write ended, once: as sure as wanted, or with what it got by then. What fell short is not taken back.
type Outcome struct {
	Dot    Dot   `json:"Dot"`
	Met    bool  `json:"Met"`
	Got    Level `json:"Got"`    // the highest that it got
	Copies int   `json:"Copies"` // known to have it, with the writer; 0 where not even the writer is known to keep it: in doubt, it may come to stand
	Zones  int   `json:"Zones"`
	Lower  bool  `json:"Lower"` // another holds a deletion that stands over it: it may go with that. Never met
}

// Member is another dispatcher, as members knows it.
type Member struct {
	Name, Zone string
	Alive      bool
	Counted    bool // belongs to the last agreed fleet
}

// Fleet is what members knows.
type Fleet struct {
	Others  []Member
	Of      int  // in the last agreed fleet, with oneself
	Decides bool // what needs a majority goes on (membership.Decide)
	Narrows bool // peers' word narrows what is done (membership.Narrow)
}

// Errors of a write. None of them leaves anything behind.
var (
	ErrKind    = errors.New("no such kind")
	ErrLong    = errors.New("longer than its kind allows")
	ErrFull    = errors.New("its kind is full")
	ErrLower   = errors.New("what stands is higher by the law")
	ErrCatches = errors.New("catching up: what this dispatcher wrote before is not known yet")
	ErrCut     = errors.New("no majority is seen")
	ErrUnkept  = errors.New("this dispatcher's disk can't be written now")
)
