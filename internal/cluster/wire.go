package cluster

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"elderwall/core/cluster/membership"
)

// Versions of the wire. Each process tells its own in its record, and reads both.
const (
	Wire1 = 1 // without loads, views and the last agreed fleet
	Wire2 = 2
	Wire  = Wire2
)

// record is a member on the wire. Fields are numbered; a reader passes over numbers that it does not know.
type record struct {
	Name        string          `cbor:"1,keyasint"`
	Address     string          `cbor:"2,keyasint"`
	Zone        string          `cbor:"3,keyasint,omitempty"`
	Boot        uint64          `cbor:"4,keyasint"`
	Incarnation uint64          `cbor:"5,keyasint"`
	State       uint8           `cbor:"6,keyasint,omitempty"`
	By          string          `cbor:"7,keyasint,omitempty"`
	Wire        uint8           `cbor:"8,keyasint,omitempty"`
	Version     uint32          `cbor:"9,keyasint,omitempty"`
	Generation  uint32          `cbor:"10,keyasint,omitempty"`
	Load        membership.Load `cbor:"11,keyasint,omitempty"`
	Counted     bool            `cbor:"12,keyasint,omitempty"`
	Vote        *vote           `cbor:"13,keyasint,omitempty"`
}

// vote is what a voter tells of itself.
type vote struct {
	ID       uint64 `cbor:"1,keyasint"`
	Council  uint64 `cbor:"2,keyasint,omitempty"`
	Era      uint32 `cbor:"3,keyasint,omitempty"`
	Recovery uint32 `cbor:"4,keyasint,omitempty"`
}

// message is one on the wire.
type message struct {
	Wire   uint8    `cbor:"1,keyasint"`
	Kind   uint8    `cbor:"2,keyasint"`
	From   record   `cbor:"3,keyasint"`
	Seq    uint32   `cbor:"4,keyasint,omitempty"`
	Target *record  `cbor:"5,keyasint,omitempty"`
	News   []record `cbor:"6,keyasint,omitempty"`
	Wants  bool     `cbor:"7,keyasint,omitempty"`

	Digest    uint64 `cbor:"8,keyasint,omitempty"`
	Sees      bool   `cbor:"9,keyasint,omitempty"`
	Fleet     uint64 `cbor:"10,keyasint,omitempty"`
	Reference uint64 `cbor:"11,keyasint,omitempty"`
	Of        uint32 `cbor:"12,keyasint,omitempty"`
}

var (
	encoding = must(cbor.EncOptions{}.EncMode())
	decoding = must( // keys of records are bytes of any kind
		cbor.DecOptions{MaxArrayElements: membership.MaxMembers, MaxMapPairs: 64, MaxNestedLevels: 8, UTF8: cbor.UTF8DecodeInvalid}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

var errMessage = errors.New("no usable message")

// encode writes a message in a version of the wire.
func encode(m *membership.Message, wire uint8) ([]byte, error) {
	out := message{Wire: wire, Kind: uint8(m.Kind), From: recordOf(&m.From, wire), Seq: m.Seq, Wants: m.WantsTable}
	if m.Target.Name != "" {
		target := recordOf(&m.Target, wire)
		out.Target = &target
	}
	for i := range m.Updates {
		out.News = append(out.News, recordOf(&m.Updates[i], wire))
	}
	if wire >= Wire2 {
		out.Digest, out.Sees, out.Fleet, out.Reference, out.Of = m.Digest, m.SeesMajority, m.AgreedFleetID, m.AgreedGeneration, m.AgreedSize
	}
	b, err := encoding.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("message: %w", err)
	}
	return b, nil
}

func recordOf(m *membership.Member, wire uint8) record {
	r := record{
		Name: m.Name, Address: m.Address, Zone: m.Zone, Boot: m.BootID, Incarnation: m.Incarnation, State: uint8(m.State), By: m.AccusedBy,
		Wire: m.WireVersion,
	}
	if wire >= Wire2 {
		r.Version, r.Generation, r.Load, r.Counted = m.Version, m.SettingsGeneration, m.Load, m.InAgreedFleet
		if v := m.Vote; v.ID != 0 {
			r.Vote = &vote{v.ID, v.ClusterID, v.DiskEpoch, v.Recoveries}
		}
	}
	return r
}

// decode reads a message of any version; what it can't be is an error.
func decode(b []byte) (m membership.Message, err error) {
	var in message
	if err := decoding.Unmarshal(b, &in); err != nil {
		return m, fmt.Errorf("%w: %w", errMessage, err)
	}
	if in.Wire == 0 || in.Kind == 0 || in.Kind > uint8(membership.Refused) || in.From.Name == "" || in.From.Address == "" {
		return m, errMessage
	}
	m = membership.Message{
		Kind: membership.MessageKind(in.Kind), From: in.From.member(), Seq: in.Seq, WantsTable: in.Wants, Digest: in.Digest, SeesMajority: in.Sees,
		AgreedFleetID: in.Fleet, AgreedGeneration: in.Reference, AgreedSize: in.Of,
	}
	if in.Wire < Wire2 { // it tells no view: what it has is taken for what is known here
		m.SeesMajority = true
	}
	if in.Target != nil {
		m.Target = in.Target.member()
	}
	for i := range in.News {
		m.Updates = append(m.Updates, in.News[i].member())
	}
	return m, nil
}

func (r *record) member() membership.Member {
	m := membership.Member{
		Name: r.Name, Address: r.Address, Zone: r.Zone, BootID: r.Boot, Incarnation: r.Incarnation,
		State: membership.State(min(r.State, uint8(membership.Left))), AccusedBy: r.By, WireVersion: r.Wire, Version: r.Version, SettingsGeneration: r.Generation, Load: r.Load,
		InAgreedFleet: r.Counted,
	}
	if v := r.Vote; v != nil {
		m.Vote = membership.Vote{ID: v.ID, ClusterID: v.Council, DiskEpoch: v.Era, Recoveries: v.Recovery}
	}
	return m
}
