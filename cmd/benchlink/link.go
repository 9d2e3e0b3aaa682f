package main

import (
	"fmt"
	"io"
	"runtime/debug"

	"elderwall/core/routing"
	"elderwall/internal/benchwire"
)

// instance is one dispatcher with what the wire needs to reach it.
type instance struct {
	*routing.Router
	clock   benchwire.Clock
	service int // how many delivery services it knows
}

// link hosts the instances of one process.
type link struct {
	instances map[int64]*instance
	reply     benchwire.Reply
	report    io.Writer
}

func newLink(report io.Writer) *link {
	return &link{instances: map[int64]*instance{}, report: report}
}

// batch turns one line of input into one line of reply.
func (l *link) batch(line []byte) []byte {
	b, err := benchwire.DecodeBatch(line)
	if err != nil {
		l.complain(err)
		return l.reply.Line()
	}
	var touched []int64
	for _, raw := range b.Happened {
		m, err := benchwire.DecodeMessage(raw)
		if err != nil {
			l.complain(err)
			continue
		}
		if err := l.guarded(m.Who, func() error { return l.message(*b.Moment, m) }); err != nil {
			l.complain(err)
			continue
		}
		touched = append(touched, m.Who)
	}
	l.settle(*b.Moment, touched)
	return l.reply.Line()
}

// settle lets each instance that had a message finish what the moment brought, in the order of their first messages.
func (l *link) settle(moment int64, touched []int64) {
	done := map[int64]bool{}
	for _, who := range touched {
		in := l.instances[who]
		if in == nil || done[who] {
			continue
		}
		done[who] = true
		if err := l.guarded(who, func() error { in.RunRetries(in.clock.Seconds(moment)); return nil }); err != nil {
			l.complain(err)
		}
	}
}

// complain reports a message that was passed over. A report that can't be written must not end the link.
func (l *link) complain(err error) { _, _ = fmt.Fprintln(l.report, "benchlink: passed over:", err) }

// guarded answers a panic of the module with the wire's fault message.
func (l *link) guarded(who int64, call func() error) error {
	defer func() {
		if broken := recover(); broken != nil {
			_, _ = fmt.Fprintf(l.report, "benchlink: instance %d broke: %v\n%s", who, broken, debug.Stack())
			l.reply.GiveIn(who, fmt.Sprint(broken))
		}
	}()
	return call()
}

// message turns one message into a call on its instance.
func (l *link) message(moment int64, m benchwire.Message) error {
	switch m.Name {
	case "powerOn":
		return l.start(moment, m)
	case "stop":
		delete(l.instances, m.Who)
		return nil
	}
	in := l.instances[m.Who]
	if in == nil {
		return fmt.Errorf("%s: instance %d does not run", m.Name, m.Who)
	}
	return in.take(in.clock.Seconds(moment), m)
}

func (l *link) start(moment int64, m benchwire.Message) error {
	s, err := m.PowerOn()
	if err != nil {
		return err
	}
	clock := benchwire.Clock{Base: moment}
	wire := benchwire.Wire{Reply: &l.reply, Clock: clock, Who: m.Who}
	l.instances[m.Who] = &instance{routing.New(s, 0, wire), clock, len(s.Services)}
	return nil
}

// take turns a message for a running instance into a call on it.
func (in *instance) take(now float64, m benchwire.Message) error {
	switch m.Name {
	case "backendsChanged":
		form, entries, err := m.Hosts(in.clock)
		if err == nil {
			in.UpdateEndpoints(now, form, entries)
		}
		return err
	case "demand":
		return in.get(now, m)
	case "answer":
		a, err := m.Answer()
		if err == nil && !in.HandleResult(now, a) {
			err = fmt.Errorf("answer: no forward %d of GET %d is out", a.Attempt, a.RequestID)
		}
		return err
	case "underWay":
		get, forward, err := m.Streaming()
		if err == nil {
			in.HandleStreaming(now, get, forward)
		}
		return err
	case "clientGone":
		get, err := m.Left()
		if err == nil {
			in.HandleClientGone(now, get)
		}
		return err
	case "invalidated":
		p, err := m.Purged()
		if err == nil {
			in.HandlePurge(now, p.Object, p.Group, p.Age)
		}
		return err
	case "wakeup":
		in.HandleTimer(now)
		return nil
	case "whisper", "health":
		return nil // the module asks for neither
	}
	return fmt.Errorf("unknown message %q", m.Name)
}

func (in *instance) get(now float64, m benchwire.Message) error {
	g, err := m.GET(in.clock)
	if err != nil {
		return err
	}
	if g.Service < 0 || g.Service >= in.service {
		return fmt.Errorf("demand: unknown delivery service %d", g.Service)
	}
	in.HandleRequest(now, g)
	return nil
}
