package node

import (
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"elderwall/control"
	"elderwall/internal/front"
	"elderwall/internal/lines"
	"elderwall/internal/thrift"
)

const idLength = 16 // hex digits of the ids of requests, objects and copies

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
		if len(n.gets) >= n.Settings.MostHeld || !n.Options.Room.Take(len(request.Body)) {
			n.Options.Counts.Shed.Add(1)
			c.Refuse(0)
			return
		}
		for n.lastID++; n.gets[n.lastID] != nil; n.lastID++ {
		}
		in.ID, in.ViewerTimeout = n.lastID, now+in.ViewerTimeout
		g := &get{id: in.ID, call: c, request: request, until: in.ViewerTimeout}
		n.gets[g.id], n.byCall[c] = g, g
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
	number := func(name string, text []byte, least int) int {
		v, err := strconv.Atoi(string(text))
		check(err == nil && v >= least, name, text)
		return v
	}
	in.Part, in.Group = number("nth", m.Part, 0), number("batch", m.Group, 0)
	in.ViewerTimeout = float64(number("budget", m.Budget, 1)) / 1e3
	check(in.Service >= 0, "method", m.Service)
	check(isID(m.ID), "rid", m.ID)
	check(isID(m.Object), "obj", m.Object)
	check(m.Tag == nil || isID(m.Tag), "got", m.Tag)
	return in, q, bad
}

func isID(text []byte) bool {
	_, err := hex.DecodeString(string(text))
	return err == nil && len(text) == idLength
}
