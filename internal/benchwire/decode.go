// Package benchwire decodes and encodes the bench wire: JSON lines, times in integers of microseconds.
package benchwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"elderwall/core/routing"
	"elderwall/core/settings"
)

// Clock turns the wire's instants into seconds from a base and back.
type Clock struct{ Base int64 }

// Seconds is an instant of the wire on this clock.
func (c Clock) Seconds(at int64) float64 { return seconds(at - c.Base) }

func seconds(us int64) float64 { return float64(us) / 1e6 }

func micros(s float64) int64 { return int64(math.Round(s * 1e6)) }

// Batch is one line of input.
type Batch struct {
	Moment   *int64
	Happened []json.RawMessage
}

// DecodeBatch reads one line of input.
func DecodeBatch(line []byte) (Batch, error) {
	var b Batch
	if err := json.Unmarshal(line, &b); err != nil {
		return b, fmt.Errorf("batch: %w", err)
	}
	if b.Moment == nil {
		return b, errors.New("batch: no moment")
	}
	return b, nil
}

// Message is one message of a batch: its name and its values in the order of the wire page.
type Message struct {
	Name   string
	Who    int64
	values []json.RawMessage
}

// DecodeMessage reads the name of a message and the instance that it is for.
func DecodeMessage(raw json.RawMessage) (Message, error) {
	var m Message
	if err := json.Unmarshal(raw, &m.values); err != nil {
		return m, fmt.Errorf("message: %w", err)
	}
	if err := m.read(&m.Name, &m.Who); err != nil {
		return m, fmt.Errorf("message: %w", err)
	}
	m.values = m.values[2:]
	return m, nil
}

// read sets the targets from the message's values in turn; a null leaves its target as it is, as does a value
// missing at the end where the target is wrapped by optional.
func (m Message) read(targets ...any) error {
	for i, target := range targets {
		if o, ok := target.(optional); ok {
			if i >= len(m.values) {
				continue
			}
			target = o.target
		}
		if i >= len(m.values) {
			return fmt.Errorf("%s: %d values, of %d", m.Name, len(m.values), len(targets))
		}
		if err := json.Unmarshal(m.values[i], target); err != nil {
			return fmt.Errorf("%s: value %d: %w", m.Name, i+1, err)
		}
	}
	return nil
}

type optional struct{ target any }

// PowerOn reads the seed and the settings of an instance that starts.
func (m Message) PowerOn() (routing.Settings, error) {
	var seed int64
	var options json.RawMessage
	if err := m.read(&seed, &options); err != nil {
		return routing.Settings{}, err
	}
	s, err := settings.Decode(options)
	s.Seed = uint64(seed)
	return s.Settings, err
}

// Hosts reads a list of hosts.
func (m Message) Hosts(c Clock) (routing.ListKind, []routing.Endpoint, error) {
	var form routing.ListKind
	var epoch json.RawMessage
	var rows [][]json.RawMessage
	if err := m.read(&form, &epoch, optional{&rows}); err != nil {
		return 0, nil, err
	}
	if form < routing.ListChanges || form > routing.ListFailed {
		return 0, nil, fmt.Errorf("%s: unknown form %d", m.Name, form)
	}
	var entries []routing.Endpoint
	for _, row := range rows {
		var e routing.Endpoint
		var since int64
		fields := Message{Name: m.Name + " entry", values: row}
		if err := fields.read(&e.ID, &e.Zone, &e.Kind, &e.Cell, &e.Phase, optional{&e.Weight}, optional{&since}); err != nil {
			return 0, nil, err
		}
		if e.Phase < routing.Removed || e.Phase > routing.Draining {
			return 0, nil, fmt.Errorf("%s: unknown phase %d", m.Name, e.Phase)
		}
		if since != 0 {
			e.OnlineSince, e.OnlineSinceKnown = c.Seconds(since), true
		}
		entries = append(entries, e)
	}
	return form, entries, nil
}

// GET reads a GET.
func (m Message) GET(c Clock) (routing.Request, error) {
	var g routing.Request
	var account json.RawMessage
	var until int64
	err := m.read(&g.ID, &g.Service, &account, &g.Object, &until, optional{&g.SizeKB}, optional{&g.Group}, optional{&g.Part})
	g.Deadline = c.Seconds(until)
	return g, err
}

// Answer reads how a forward ended, and from a load report how crowded the way in is.
func (m Message) Answer() (routing.AttemptResult, error) {
	var a routing.AttemptResult
	var host, waited json.RawMessage
	var how string
	var elapsed int64
	var report map[string]float64
	err := m.read(&a.RequestID, &a.Attempt, &host, &how, &elapsed, &a.Final, optional{&a.Note}, optional{&waited}, optional{&report})
	if err != nil {
		return a, err
	}
	outcome, known := outcomes[how]
	if !known {
		return a, fmt.Errorf("%s: unknown outcome %q", m.Name, how)
	}
	a.Outcome, a.Elapsed = outcome, seconds(elapsed)
	a.IngressLoad = report["x1"]
	return a, nil
}

var outcomes = map[string]routing.Outcome{
	"delivered": routing.Succeeded, "app_error": routing.HostFailed, "shed": routing.Rejected,
	"expired": routing.TimedOut, "dial_failed": routing.Unreachable, "dropped": routing.ConnectionLost,
	"revoked": routing.Canceled, "unused": routing.ArrivedLate, "empty": routing.NotCached,
}

// Streaming reads which forward's answer has started.
func (m Message) Streaming() (get uint32, forward int, err error) {
	err = m.read(&get, &forward)
	return get, forward, err
}

// Left reads whose client has gone.
func (m Message) Left() (get uint32, err error) {
	err = m.read(&get)
	return get, err
}

// Purge is what a purge names.
type Purge struct {
	Object string // all of the group where empty
	Group  int
	Age    float64 // s
}

// Purged reads a purge; an object that is 0 or absent is the empty one.
func (m Message) Purged() (Purge, error) {
	var p Purge
	var key json.RawMessage
	var us int64
	if err := m.read(&key, &p.Group, &us); err != nil {
		return Purge{}, err
	}
	if s := string(key); s != "0" && s != "null" {
		if err := json.Unmarshal(key, &p.Object); err != nil {
			return Purge{}, fmt.Errorf("%s: key: %w", m.Name, err)
		}
	}
	p.Age = seconds(us)
	return p, nil
}
