package node

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"

	"elderwall/control"
	"elderwall/internal/front"
	"elderwall/internal/lines"
	"elderwall/internal/thrift"
)

const (
	idLength    = 16 // hex digits of the ids of requests, objects and copies
	hexDigits   = "0123456789abcdef"
	lastGroup   = 255     // groups are numbered from 0
	longestBody = 240_000 // bytes; of an object
)

// Process takes a call of a client.
func (n *Node) Process(c *front.Call, m thrift.Call) {
	n.Options.Counts.GETs.Add(1)
	in, request, err := n.read(m)
	if err != nil {
		n.Options.Counts.Unusable.Add(1)
		n.Options.Log.Warn().Err(err).Msg("GET can't be used")
		c.Fail()
		return
	}
	n.call(func(now float64) {
		if n.byID[request.ID] != nil { // a STOP of one, or an answer, would pass for that of the other
			n.Options.Counts.Unusable.Add(1)
			c.Fail()
			return
		}
		if len(n.gets) >= n.Settings.MostHeld || !n.Options.Room.Take(len(request.Body)) {
			n.Options.Counts.Shed.Add(1)
			c.Refuse(0)
			return
		}
		for n.lastID++; n.gets[n.lastID] != nil; n.lastID++ {
		}
		in.ID, in.ViewerTimeout = n.lastID, now+in.ViewerTimeout
		g := &get{id: in.ID, call: c, request: request, from: now, until: in.ViewerTimeout}
		n.gets[g.id], n.byCall[c], n.byID[request.ID] = g, g, g
		g.expiry = n.expiries.Add(g.until, g)
		n.module.GET(now, in)
	})
}

var errField = errors.New("unusable field")

// read makes a GET of a message, with strings of its own; its viewer timeout is still that from now on.
func (n *Node) read(m thrift.Call) (control.GET, lines.Request, error) {
	q := lines.Request{ID: string(m.ID), Service: string(m.Service), Object: string(m.Object), Part: string(m.Part),
		Tag: string(m.Tag), Body: slices.Clone(m.Body)}
	in := control.GET{Service: slices.Index(n.Settings.Services, q.Service), Object: q.Object}
	var bad error
	check := func(ok bool, name string, text []byte) {
		if !ok && bad == nil {
			bad = fmt.Errorf("%w: %s %.32q", errField, name, text)
		}
	}
	number := func(name string, text []byte, least, most int) int {
		v, err := strconv.Atoi(string(text))
		check(err == nil && v >= least && v <= most && strconv.Itoa(v) == string(text), name, text)
		return v
	}
	check(in.Service >= 0, "method", m.Service)
	longest := 0.0
	if in.Service >= 0 {
		longest = n.Settings.Settings.Services[in.Service].ViewerTimeout
	}
	in.Part, in.Group = number("nth", m.Part, 0, math.MaxInt32), number("batch", m.Group, 0, lastGroup)
	in.ViewerTimeout = float64(number("budget", m.Budget, 1, int(math.Ceil(longest*1e3)))) / 1e3
	check(isID(m.ID), "rid", m.ID)
	check(isID(m.Object), "obj", m.Object)
	check(m.Tag == nil || isID(m.Tag), "got", m.Tag)
	check(len(m.Body) <= longestBody, "body", nil)
	return in, q, bad
}

func isID(text []byte) bool { return len(text) == idLength && len(bytes.Trim(text, hexDigits)) == 0 }
