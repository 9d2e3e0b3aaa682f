package channel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"elderwall/internal/contract"
)

// The laws are orders over what may be written and over what may not, and rubbish is refused.
func TestLaws(t *testing.T) {
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

// Each order is as declared for who writes and reads at any dispatcher, while records come in any order and are lost now and then.
func TestChannels(t *testing.T) {
	for _, d := range []Declaration{declared(Latest, true), declared(ByKey, false), declared(BySender, false), declared(Causal, false), declared(Total, false)} {
		t.Run(d.Order.String(), func(t *testing.T) {
			t.Parallel()
			seed := uint64(0)
			contract.Channels{Name: d.Order.String(), Order: d.Order.String(), Gaps: d.Told, Make: func(_ testing.TB, n int) contract.Channel {
				seed++
				w := newWorld(seed, d, n, 0, 0, "")
				w.nodes[w.holder].m.Hold(w.clock(w.holder), channelName, w.token)
				return &played{w: w, ids: make([]uint64, n)}
			}}.Hold(t)
		})
	}
}

// played is a channel of machines over records that spread.
type played struct {
	w     *world
	ids   []uint64 // of each dispatcher's reader
	clock uint64
}

func (p *played) Write(at int, n contract.Note) error {
	p.clock++
	e := Entry{Channel: channelName, Key: n.Key, Writer: n.Writer, Number: n.Number, After: n.After, Clock: p.clock, Body: []byte(ref(n.Writer, n.Number))}
	var err error
	var last State
	for range 400 {
		var state State
		if p.w.d.Order == Total { // whoever is not the holder hands it on
			at = p.w.holder
		}
		state, err = p.w.nodes[at].m.Write(p.w.clock(at), e)
		last = state
		if err == nil && (state == Known || state == OnWay && p.w.d.Order != Total) {
			return nil
		}
		p.w.step()
	}
	return errors.Join(err, fmt.Errorf("%v is not taken: %v", n, last))
}

func (p *played) Read(at int) (shown []contract.Note, told bool) {
	m := p.w.nodes[at].m
	if p.ids[at] == 0 {
		id, err := m.Open(p.w.clock(at), Ask{Channel: channelName})
		if err != nil {
			return nil, false
		}
		p.ids[at] = id
	}
	for _, note := range m.Take(p.w.clock(at), p.ids[at], 1000) {
		switch {
		case note.Word == Shown:
			shown = append(shown, contract.Note{
				Key: note.Entry.Key, Writer: note.Entry.Writer, Number: note.Entry.Number, After: note.Entry.After,
				Late: note.Late,
			})
		case note.Word != Shown && note.Word != Turned:
			told = true
		}
	}
	return shown, told
}

func (p *played) Pass(*rand.Rand) { p.w.step() }

func (p *played) Settle() {
	p.w.steps(200)
}
