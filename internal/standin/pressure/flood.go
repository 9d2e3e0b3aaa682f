package pressure

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"elderwall/internal/standin"
	"elderwall/internal/standin/rig"
)

const (
	floodBatch   = 32 << 10 // bytes that are written at once
	floodStreams = 1 << 20  // of one connection of a proxy
	floodRoom    = 64 << 10 // calls of one connection, whose numbers go round
)

// Flood is what one client or proxy sends on one connection at full speed.
type Flood string

// The floods.
const (
	Probes         Flood = "probes"
	UnknownMethods Flood = "methods of ever new names"
	UnknownClasses Flood = "classes of ever new names"
	UnsoundFields  Flood = "unsound fields"
	NewObjects     Flood = "ever new objects"
	GivenUp        Flood = "calls that are given up at once"
	UnknownPaths   Flood = "ever new paths"
	UnsoundHeads   Flood = "unsound heads"
	EmptyStreams   Flood = "streams that are ended at once"
)

// Floods is all that can be sent at a front.
func Floods(f Front) []Flood {
	if f.ForProxies() {
		return []Flood{NewObjects, UnknownPaths, UnsoundHeads, EmptyStreams}
	}
	return []Flood{Probes, UnknownMethods, UnknownClasses, UnsoundFields, NewObjects, GivenUp}
}

var floodNames atomic.Uint64

// calls are the frames of a flood for one number of a call.
func (f Flood) calls(seq int32) []byte {
	name := fmt.Sprintf("%016x", floodNames.Add(1))
	process := func(changes ...string) []byte {
		return standin.Call("process", 1, seq, standin.ProcessArguments(standin.Fields(rig.Fresh(append([]string{"budget", "1000"}, changes...)...)...), ""))
	}
	switch f {
	case Probes:
		return standin.Call("probe", 1, seq, []byte{2, 0, 1, 0})
	case UnknownMethods:
		return standin.Call("m"+name, 1, seq, nil)
	case UnknownClasses:
		return process("method", "class"+name)
	case UnsoundFields:
		return process("obj", "x"+name, "nth", "-"+name)
	case GivenUp:
		return append(process("obj", name), standin.Call("giveUp", 4, 0, standin.GiveUpArguments(seq))...)
	}
	return process("obj", name)
}

// Flood has one client or proxy send at full speed on one connection, until it is closed; it connects again where it was cut
// off. It reads what it is answered.
func (p *Process) Flood(f Flood) *Hostile {
	return p.Connect(1, func(h *Hostile, c net.Conn) {
		for {
			if p.Front.ForProxies() {
				h.floodStreams(f, c)
			} else {
				h.floodCalls(f, c)
			}
			_ = c.Close()
			select {
			case <-h.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			fresh, err := p.dialRaw()
			if err != nil {
				return
			}
			c = fresh
			h.mu.Lock()
			h.conns = append(h.conns, c)
			h.mu.Unlock()
		}
	})
}

func (h *Hostile) floodCalls(f Flood, c net.Conn) {
	h.all.Go(func() { _, _ = io.Copy(io.Discard, c) }) // ends with the connection
	var batch []byte
	for seq := int32(1); ; seq = seq%floodRoom + 1 {
		if batch = append(batch, f.calls(seq)...); len(batch) < floodBatch {
			continue
		}
		if !h.write(c, batch, len(batch), 0) {
			return
		}
		batch = batch[:0]
	}
}

func (h *Hostile) floodStreams(f Flood, c net.Conn) {
	s, err := h.open(c)
	if err != nil {
		return
	}
	for i := range floodStreams {
		stream := uint32(2*i + 1)
		if s.begin(stream, 0) != nil {
			return
		}
		switch f {
		case EmptyStreams:
			err = s.end(stream)
		case UnsoundHeads:
			err = s.data(stream, message(30))
		case UnknownPaths:
			err = s.data(stream, ask(fmt.Sprintf("/x%016x", floodNames.Add(1))))
		default:
			err = s.data(stream, ask(fmt.Sprintf("/clips/%016x/0", floodNames.Add(1))))
		}
		if err != nil {
			return
		}
		select {
		case <-h.stop:
			return
		default:
		}
	}
}
