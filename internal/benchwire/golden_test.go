package benchwire_test

import (
	"encoding/json"
	"testing"

	"elderwall/core/routing"
	"elderwall/internal/benchwire"
	"elderwall/internal/goldentest"
)

func TestGoldenBatches(t *testing.T) {
	var tr goldentest.Transcript
	for _, line := range []string{
		`{"moment":5,"happened":[["wakeup",0],["stop",1]]}`, `{"moment":0}`, `{"happened":[]}`, `{"moment":null}`, `{"moment":"5"}`,
		`{"Moment":-7,"HAPPENED":[1],"other":2}`, `[]`, ``, `{"moment":1.5}`,
	} {
		batch, err := benchwire.DecodeBatch([]byte(line))
		tr.Values(line, batch)
		tr.Rejected(err)
	}
	for _, raw := range []string{`["wakeup",3]`, `["wakeup"]`, `[]`, `{}`, `[1,2]`, `["a","b"]`, `[null,null]`, `["a",1,2,3]`} {
		message, err := benchwire.DecodeMessage(json.RawMessage(raw))
		tr.Values(raw, message.Name, message.Who)
		tr.Rejected(err)
	}
	tr.Check(t, "batches.golden")
}

// reading is how a kind of message is read.
type reading struct {
	kind     string
	read     func(m benchwire.Message) ([]any, error)
	messages []string
}

var clock = benchwire.Clock{Base: 1_000_000}

var readings = []reading{
	{"power on", func(m benchwire.Message) ([]any, error) {
		s, err := m.PowerOn()
		return []any{s}, err
	}, []string{
		`["powerOn",0,77,{"balancers":2,"classes":[{"name":"segment","aim":500000}]}]`, `["powerOn",0,-1,{}]`, `["powerOn",0,1]`,
		`["powerOn",0,1,[]]`, `["powerOn",0,null,null]`,
	}},
	{"hosts", func(m benchwire.Message) ([]any, error) {
		kind, hosts, err := m.Hosts(clock)
		return []any{kind, hosts}, err
	}, []string{
		`["backendsChanged",0,1,9,[[4,1,0,2,1,2.5,3000000],[5,0,1,0,2],[6,0,0,0,0,null,0]]]`, `["backendsChanged",0,0,null]`,
		`["backendsChanged",0,3,0,[]]`, `["backendsChanged",0,4,0,[]]`, `["backendsChanged",0,-1,0,[]]`,
		`["backendsChanged",0,1,0,[[4,1,0,2,3]]]`, `["backendsChanged",0,1,0,[[4,1,0]]]`, `["backendsChanged",0,1,0,[["x",1,0,2,1]]]`,
		`["backendsChanged",0,2,0,[[-4,1,0,2,1]]]`,
	}},
	{"GET", func(m benchwire.Message) ([]any, error) {
		get, err := m.GET(clock)
		return []any{get}, err
	}, []string{
		`["demand",0,7,1,0,"obj",6000000,12.5,17,3]`, `["demand",0,7,1,0,"obj",6000000]`, `["demand",0,7,1,null,"",0,null,null,null]`,
		`["demand",0,7,1,0,"obj"]`, `["demand",0,7,1,0,5,6]`, `["demand",0,7,1,0,"obj",1,2,3,4,5]`,
	}},
	{"answer", func(m benchwire.Message) ([]any, error) {
		answer, err := m.Answer()
		return []any{answer}, err
	}, []string{
		`["answer",0,7,2,5,"delivered",1500000,true,1,0,{"x1":0.25,"x2":1}]`, `["answer",0,7,2,5,"app_error",1,false]`,
		`["answer",0,7,2,5,"shed",1,false]`, `["answer",0,7,2,5,"expired",1,false]`, `["answer",0,7,2,5,"dial_failed",1,false,10]`,
		`["answer",0,7,2,5,"dropped",1,false]`, `["answer",0,7,2,5,"revoked",1,false,null,null,null]`,
		`["answer",0,7,2,5,"unused",1,false]`, `["answer",0,7,2,5,"empty",1,false]`, `["answer",0,7,2,5,"other",1,false]`,
		`["answer",0,7,2,5,"delivered",1]`, `["answer",0,7,2,5,"delivered",1,true,1,0,{"x1":"a"}]`,
	}},
	{"streaming", func(m benchwire.Message) ([]any, error) {
		get, forward, err := m.Streaming()
		return []any{get, forward}, err
	}, []string{`["underWay",0,7,2]`, `["underWay",0,7]`, `["underWay",0,-7,2]`}},
	{"left", func(m benchwire.Message) ([]any, error) {
		get, err := m.Left()
		return []any{get}, err
	}, []string{`["clientGone",0,7]`, `["clientGone",0]`, `["clientGone",0,4294967296]`}},
	{"purged", func(m benchwire.Message) ([]any, error) {
		p, err := m.Purged()
		return []any{p.Object, p.Group, p.Age}, err
	}, []string{
		`["invalidated",0,"obj",17,2500000]`, `["invalidated",0,0,17,1]`, `["invalidated",0,null,17,1]`, `["invalidated",0,5,17,1]`,
		`["invalidated",0,"obj",17]`, `["invalidated",0,"",null,null]`,
	}},
}

func TestGoldenMessages(t *testing.T) {
	var tr goldentest.Transcript
	for _, r := range readings {
		for _, raw := range r.messages {
			message, err := benchwire.DecodeMessage(json.RawMessage(raw))
			if err != nil {
				t.Fatal(raw, err)
			}
			values, err := r.read(message)
			tr.Values(r.kind+" "+raw, values...)
			tr.Rejected(err)
		}
	}
	tr.Values("seconds", clock.Seconds(0), clock.Seconds(1_000_001), clock.Seconds(1<<50))
	tr.Check(t, "messages.golden")
}

func TestGoldenActions(t *testing.T) {
	var tr goldentest.Transcript
	wire := benchwire.Wire{Reply: &benchwire.Reply{}, Clock: clock, Who: 3}
	line := func(name string) { tr.Bytes(name, wire.Line()) }
	line("nothing")
	wire.Forward(routing.Attempt{})
	line("bare forward")
	wire.Forward(routing.Attempt{
		RequestID: 7, Host: 8, Source: 9, CachePriority: 2, MaxAge: 1.2345678, Coalesce: true, CachedOnly: true, Revalidate: true, SendBy: 5,
	})
	line("full forward")
	wire.Forward(routing.Attempt{Coalesce: true, MaxAge: 0.9999999})
	wire.Forward(routing.Attempt{CachedOnly: true})
	wire.Forward(routing.Attempt{Revalidate: true})
	line("one flag each")
	wire.Cancel(7, 2)
	wire.Shed(7, 0)
	wire.Shed(7, 0.1234567)
	wire.Fail(7)
	wire.PollEndpoints()
	wire.GiveIn(-1, "broke")
	line("the others")
	wire.Schedule(0.0000005, "a \"cookie\" <&> \u2028 \xff")
	wire.Schedule(-1, "")
	wire.HostEjected(7)
	wire.HostRecovered(7)
	line("texts")
	tr.Check(t, "actions.golden")
}
