package pressure

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/proxy"
	"elderwall/internal/standin/rig"
)

const (
	honestBudget = time.Second // that a well-behaved client waits for an answer
	honestPause  = 20 * time.Millisecond
)

// Service is what well-behaved clients were answered.
type Service struct {
	Served, Refused, Failed, Lost int           // Lost: no answer in their time
	Slowest                       time.Duration // of the answers
}

// Honest has one well-behaved client ask until the time is over, on a connection that was up before.
func (p *Process) Honest(lasts time.Duration) (s Service) {
	ask := p.asker()
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(honestPause) {
		began := time.Now()
		kind := ask()
		took := time.Since(began)
		s.Slowest = max(s.Slowest, took)
		switch {
		case took > honestBudget+50*time.Millisecond || kind == "":
			s.Lost++
		case kind == "served":
			s.Served++
		case kind == "refused":
			s.Refused++
		default:
			s.Failed++
		}
	}
	return s
}

// asker connects a well-behaved client, and returns what asks one request: it gives the kind of the answer, "" for none.
func (p *Process) asker() func() (kind string) {
	if p.Front.ForProxies() {
		return p.proxyAsker()
	}
	var c *standin.Client
	connect := func() (err error) { c, err = p.Dial(); return err }
	require.NoError(p, connect())
	return func() string {
		if c == nil && connect() != nil {
			return ""
		}
		_ = c.Conn.SetDeadline(time.Now().Add(2 * honestBudget))
		_, err := c.Process(standin.Fields(rig.Fresh("budget", fmt.Sprint(honestBudget.Milliseconds()))...), "")
		var r standin.Reply
		if err == nil {
			r, err = c.Read()
		}
		if err != nil {
			_ = c.Conn.Close()
			c = nil
			return ""
		}
		return r.Kind
	}
}

func (p *Process) proxyAsker() func() string {
	asks := need.Of(proxy.Dial(p.Address, nil))(p.TB)
	p.Cleanup(asks.Close)
	asks.Cache = func(string, map[string]string) proxy.Answer { return proxy.Answer{Status: http.StatusOK} }
	return func() string {
		ctx, cancel := context.WithTimeout(context.Background(), 2*honestBudget)
		defer cancel()
		switch o := asks.Do(ctx, "/clips/"+rig.Object+"/0", proxy.None); {
		case o.Err != nil || o.Status == 0:
			return ""
		case o.Status == http.StatusOK:
			return "served"
		case o.Status == http.StatusServiceUnavailable:
			return "refused"
		}
		return "failed"
	}
}
