package channel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"elderwall/internal/contract"
)

// The merge orders must be total orders over valid and invalid values alike, and invalid values must be refused.
func TestMergeOrders(t *testing.T) {
	for _, k := range Kinds() {
		t.Run(k.Name, func(t *testing.T) {
			contract.Kind[[]byte]{
				Draw: func(c *rand.Rand) []byte {
					if c.IntN(8) == 0 {
						return [][]byte{nil, {}, {255}, {255, 255, 255}}[c.IntN(4)]
					}
					return binary.AppendUvarint(binary.AppendUvarint(nil, c.Uint64N(300)), c.Uint64N(3))
				},
				Compare: k.MergeOrder,
			}.Hold(t)
		})
	}
}

// Writers and readers at any dispatcher must see the declared order, while records arrive in any order and some are lost for a time.
func TestChannelContract(t *testing.T) {
	for _, d := range []Declaration{newDeclaration(Latest, true), newDeclaration(ByKey, false), newDeclaration(BySender, false), newDeclaration(Causal, false), newDeclaration(Total, false)} {
		t.Run(d.Order.String(), func(t *testing.T) {
			t.Parallel()
			seed := uint64(0)
			contract.Channels{Name: d.Order.String(), Order: d.Order.String(), Gaps: d.AllowGaps, Make: func(_ testing.TB, n int) contract.Channel {
				seed++
				w := newSimulation(seed, d, n, 0, 0, "")
				w.nodes[w.sequencer].machine.SetSequencerEpoch(w.clock(w.sequencer), channelName, w.fencingToken)
				return &contractChannel{world: w, readerIDs: make([]uint64, n)}
			}}.Hold(t)
		})
	}
}

// contractChannel is a channel for the contract suite: the machines of a simulation, between which records are replicated.
type contractChannel struct {
	world     *simulation
	readerIDs []uint64 // of each dispatcher's reader, 0 if it has not opened
	clock     uint64
}

func (p *contractChannel) Write(at int, n contract.Note) error {
	p.clock++
	e := Entry{Channel: channelName, Key: n.Key, Writer: n.Writer, Number: n.Number, After: n.After, Clock: p.clock, Body: []byte(entryID(n.Writer, n.Number))}
	var err error
	var last WriteState
	for range 400 {
		var state WriteState
		if p.world.declaration.Order == Total { // other dispatchers pass the entry to the sequencer
			at = p.world.sequencer
		}
		state, err = p.world.nodes[at].machine.Write(p.world.clock(at), e)
		last = state
		if err == nil && (state == WriteAcknowledged || state == WriteInFlight && p.world.declaration.Order != Total) {
			return nil
		}
		p.world.step()
	}
	return errors.Join(err, fmt.Errorf("%v is not accepted: %v", n, last))
}

func (p *contractChannel) Read(at int) (shown []contract.Note, told bool) {
	m := p.world.nodes[at].machine
	if p.readerIDs[at] == 0 {
		id, err := m.Open(p.world.clock(at), OpenRequest{Channel: channelName})
		if err != nil {
			return nil, false
		}
		p.readerIDs[at] = id
	}
	for _, note := range m.Take(p.world.clock(at), p.readerIDs[at], 1000) {
		switch {
		case note.Kind == EventEntry:
			shown = append(shown, contract.Note{
				Key: note.Entry.Key, Writer: note.Entry.Writer, Number: note.Entry.Number, After: note.Entry.After,
				Late: note.Late,
			})
		case note.Kind != EventEntry && note.Kind != EventDeclarationChanged:
			told = true
		}
	}
	return shown, told
}

func (p *contractChannel) Pass(*rand.Rand) { p.world.step() }

func (p *contractChannel) Settle() {
	p.world.steps(200)
}
