// Package replication keeps the records of several kinds the same at every dispatcher. Members send each other deltas of what the other lacks.
// Where the deltas are no longer logged, they compare digests of key ranges, and a member that was away for longer than Settings.Horizon pulls a
// whole snapshot.
//
// The package is a state machine with no I/O, no clock and no goroutine. Step takes messages, Tick takes the time, and Ready returns what has to
// be persisted, sent and reported. Package internal/cluster drives it over sockets and a disk, and package emulator without either. The machine
// knows no kind by name: Settings passes each kind with its limits and its merge order.
package replication

import (
	"cmp"
	"errors"
)

// Dot names one write by its writer, the writer's epoch and the number within that epoch, from 1. The epoch rises with each start of the writer.
type Dot struct {
	Writer      string `cbor:"1,keyasint" json:"writer"`
	WriterEpoch uint64 `cbor:"2,keyasint" json:"era"`
	Number      uint64 `cbor:"3,keyasint" json:"number"`
}

// Compare orders dots. It breaks ties that the merge order leaves, and it does not say which write was later.
func (d Dot) Compare(o Dot) int {
	return cmp.Or(cmp.Compare(d.WriterEpoch, o.WriterEpoch), cmp.Compare(d.Number, o.Number), cmp.Compare(d.Writer, o.Writer))
}

// Record is the current record of a key of a kind. Its value is never modified, so all holders of a record may share it.
type Record struct {
	Kind    uint8  `cbor:"1,keyasint" json:"Kind"`
	Key     string `cbor:"2,keyasint" json:"Key"`
	Value   []byte `cbor:"3,keyasint,omitempty" json:"Value"`
	Deleted bool   `cbor:"4,keyasint,omitempty" json:"Dead"` // the record is a tombstone
	Dot     Dot    `cbor:"5,keyasint" json:"Dot"`
}

// Kind describes what all records of one kind have in common.
type Kind struct {
	ID             uint8
	Name           string
	MaxRecords     int  // including tombstones
	MaxBytes       int  // of all keys and values together
	MaxRecordBytes int  // of one key and its value
	Sync           bool // a write is synced to the disk before it is acknowledged
	// MergeOrder compares two values of one key; the higher one wins wherever the two meet. Between equal values a tombstone wins over a value,
	// then the bytes decide, then the dot. So merging is commutative, associative and idempotent for any MergeOrder that is an order.
	MergeOrder func(a, b []byte) int
	// Check returns what is wrong with a record that was written or received. A nil Check accepts all.
	Check func(key string, value []byte) error
}

// Level is how durable a write is.
type Level uint8

// The levels of durability, from the lowest.
const (
	LevelLocal    Level = iota // persisted by the writer
	LevelCopies                // persisted by WriteConcern.Copies dispatchers, in as many different zones as possible up to that number
	LevelMajority              // persisted by more than half of the last agreed fleet
)

func (l Level) String() string {
	return [...]string{"here", "copies", "majority"}[min(l, LevelMajority)]
}

// WriteConcern is how durable a writer wants a write to be, and how long it waits for that.
type WriteConcern struct {
	Level   Level   `cbor:"Level"`
	Copies  int     `cbor:"Copies"` // the writer counts; used by LevelCopies
	Timeout float64 `cbor:"Within"` // seconds until the outcome is reported in any case
}

// Outcome reports how a write ended. It is reported once: when the write concern is met, or with what was achieved at the timeout. A write whose
// concern was not met is not rolled back.
type Outcome struct {
	Dot        Dot   `json:"Dot"`
	Met        bool  `json:"Met"`
	Achieved   Level `json:"Got"`    // highest level reached
	Copies     int   `json:"Copies"` // members known to have persisted it, the writer included; 0 if even the writer may not have, and then the write may still take effect
	Zones      int   `json:"Zones"`
	Overridden bool  `json:"Lower"` // another member holds a tombstone that wins over the write, which may disappear; Met is false then
}

// Member is another dispatcher, as package membership reports it.
type Member struct {
	Name, Zone    string
	Alive         bool
	InAgreedFleet bool // the member belongs to the last agreed fleet
}

// Fleet is what package membership reports about the fleet.
type Fleet struct {
	Others              []Member
	AgreedSize          int  // members of the last agreed fleet, this dispatcher included
	HasQuorum           bool // operations that need a majority may proceed (membership.DecideByMajority)
	AcceptsRestrictions bool // messages of peers may restrict what this dispatcher does (membership.AcceptRestrictions)
}

// Errors of Write. A write that fails with one of them has no effect.
var (
	ErrUnknownKind = errors.New("unknown record kind")
	ErrTooLong     = errors.New("record is longer than its kind allows")
	ErrFull        = errors.New("no room left for records of this kind")
	ErrSuperseded  = errors.New("what stands is higher by the law") // the current record wins; the text is kept because golden files contain it
	ErrCatchingUp  = errors.New("catching up: earlier writes of this dispatcher are not all known yet")
	ErrNoQuorum    = errors.New("no majority of the fleet is reachable")
	ErrUnpersisted = errors.New("the disk of this dispatcher cannot be written now")
)
