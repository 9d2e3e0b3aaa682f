package extproc

import (
	"context"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	procv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"elderwall/control"
	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/node"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/proxy"
	rigs "elderwall/internal/standin/rig"
	"elderwall/stages/calls"
)

// paused is a handler that a test can hold up.
type paused struct {
	*node.Node
	mu sync.Mutex
}

func (p *paused) Process(c call.Call, in call.GET) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Node.Process(c, in)
}

// rig is a processor before one module, and the caches that its proxies send to.
type rig struct {
	testing.TB
	*Server
	handler *paused
	address string
	end     func()

	mu     sync.Mutex
	sent   map[string]int // by host
	answer func(host string, h map[string]string) proxy.Answer
}

const path = "/clips/7f3a9c21e0b4d655/3"

func newRig(t testing.TB, change func(*Options), hosts ...string) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	r := &rig{TB: t, sent: map[string]int{}}
	o, s := rigs.Options(ctx, group), rigs.Settings(100_000)
	counts := o.Counts
	s.Detail, s.MaxRetryAfter = control.Full, 1
	s.Settings.Services[0].Objective, s.Settings.Services[0].ViewerTimeout = 1, 10
	n := node.New(node.Config{Settings: s, Clock: clock.New(), Options: o, Connections: 400})
	r.handler = &paused{Node: n}
	options := Options{Decide: 0.5, Calls: calls.Settings{Hold: 0.1, Share: 1, Open: 20_000}, Rules: Rules{Prefix: "x-elderwall-", Routing: true,
		Paths: []Path{{Pattern: regexp.MustCompile(`^/clips/(?P<object>[^/?]+)/(?P<part>[0-9]+)$`), Service: "segment", Budget: 5}}}}
	if change != nil {
		change(&options)
	}
	r.Server = &Server{Options: options, Handler: r.handler, Log: zerolog.Nop(), Counts: counts, Room: o.Room, Clock: n.Clock}
	l := need.Of(net.Listen("tcp", "127.0.0.1:0"))(t)
	r.address = l.Addr().String()
	if len(hosts) == 0 {
		hosts = []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"}
	}
	var entries []changelog.Host
	for i, h := range hosts {
		entries = append(entries, entry(i, h, "SERVING"))
	}
	n.Take(changelog.Event{Fleet: &changelog.Fleet{Reset: true, Hosts: append(entries, changelog.Host{ID: "o", Address: "10.0.1.1:80",
		Zone: "z", Kind: "origin", State: "SERVING", Weight: 1})}})
	group.Go(func() error { return n.Run(ctx) })
	group.Go(func() error { return r.Server.Serve(ctx, l) })
	r.end = sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, group.Wait())
		assert.EqualValues(t, 1<<24, o.Room.Left(), "all room is given back")
	})
	t.Cleanup(r.end)
	r.answer = func(string, map[string]string) proxy.Answer { return proxy.Answer{Status: 200} }
	require.Eventually(t, func() bool { return r.health() == healthpb.HealthCheckResponse_SERVING }, 5*time.Second, time.Millisecond)
	return r
}

func entry(i int, address, state string) changelog.Host {
	return rigs.Entry(fmt.Sprint("s-", i), address, state)
}

func (r *rig) health() healthpb.HealthCheckResponse_ServingStatus {
	p := r.dial()
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got, err := healthpb.NewHealthClient(p.Conn()).Check(ctx, &healthpb.HealthCheckRequest{})
	if err != nil {
		return healthpb.HealthCheckResponse_UNKNOWN
	}
	return got.GetStatus()
}

// proxy is one that is closed with the test.
func (r *rig) proxy() *proxy.Proxy { p := r.dial(); r.Cleanup(p.Close); return p }

// stream is one stream of a proxy.
func (r *rig) stream(p *proxy.Proxy) procv3.ExternalProcessor_ProcessClient {
	return need.Of(p.Client().Process(r.Context()))(r.TB)
}

func (r *rig) dial() *proxy.Proxy {
	p := need.Of(proxy.Dial(r.address, nil))(r.TB)
	p.Cache = func(host string, h map[string]string) proxy.Answer {
		r.mu.Lock()
		r.sent[host]++
		answer := r.answer
		r.mu.Unlock()
		return answer(host, h)
	}
	return p
}

// one plays one request of a proxy of its own.
func (r *rig) one(fault proxy.Fault, words ...string) proxy.Outcome {
	p := r.dial()
	defer p.Close()
	return p.Do(context.Background(), path, fault, words...)
}

// quiet waits until nothing is open, and the module has no GET left.
func (r *rig) quiet() {
	if !assert.Eventually(r, func() bool { gets, streams := r.Count(); return gets == 0 && streams == 0 }, 5*time.Second, 5*time.Millisecond) {
		r.Fatal(r.open())
	}
}

// open tells what is open.
func (r *rig) open() string {
	gets, streams := r.Count()
	text := fmt.Sprintf("%d GETs, %d streams;", gets, streams)
	r.Server.mu.Lock()
	defer r.Server.mu.Unlock()
	for _, a := range r.asks {
		text += fmt.Sprintf(" phase %d, entered %d, due at %g of %g", a.row.Phase, a.entered.Load(), a.row.Until, r.Clock.Now())
	}
	return text
}

// sum is the ends of GETs, each of which has one.
func (r *rig) sum() int64 {
	c := r.Counts
	return c.Returned.Load() + c.Shed.Load() + c.Errored.Load() + c.GivenUp.Load()
}

func TestARoutedGET(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Metadata = true })
	o := r.one(proxy.None, "x-envoy-expected-rq-timeout-ms", "2000", "x-elderwall-join", "forged")
	require.NoError(t, o.Err)
	assert.Equal(t, []int{200, 1, 1}, []int{o.Status, o.Answers, o.Calls})
	assert.Len(t, o.Hosts, 1)
	r.quiet()
	assert.EqualValues(t, 1, r.Counts.Returned.Load())
	assert.Zero(t, r.Counts.GivenUp.Load())
}

func TestWhatARouteSays(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Metadata = true })
	s := r.stream(r.proxy())
	require.NoError(t, s.Send(proxy.Ask(":path", path, ":method", "GET", "x-envoy-expected-rq-timeout-ms", "2000")))
	m := need.Of(s.Recv())(t)
	common := m.GetRequestHeaders().GetResponse()
	set := proxy.Set(common.GetHeaderMutation())
	assert.True(t, common.GetClearRouteCache())
	assert.Regexp(t, `^10\.0\.0\.[1-4]:80$`, set["x-elderwall-host"])
	assert.Equal(t, "10.0.1.1:80", set["x-elderwall-source"])
	assert.Equal(t, []string{"0", "1"}, []string{set["x-elderwall-forward"], set["x-elderwall-rank"]})
	budget, _ := strconv.Atoi(set["x-elderwall-budget-ms"])
	assert.InDelta(t, 2000, budget, 100)
	by, _ := strconv.ParseInt(set["x-elderwall-send-by"], 10, 64)
	assert.LessOrEqual(t, by, time.Now().Add(calls.SendWithin*1e9).UnixMilli(), "what was named is to be sent within half of the drain's grace")
	assert.Contains(t, common.GetHeaderMutation().GetRemoveHeaders(), "x-elderwall-unsent", "what clients forge is taken out")
	assert.Equal(t, set["x-elderwall-host"], m.GetDynamicMetadata().GetFields()["elderwall"].GetStructValue().GetFields()["host"].GetStringValue())
	require.NoError(t, s.CloseSend())
}

// Each kind of message of the published protocol, in its place and out of it.
func TestMessages(t *testing.T) {
	r := newRig(t, nil)
	for _, tt := range []struct {
		name  string
		fault proxy.Fault
		code  codes.Code
	}{
		{"request and response headers", proxy.None, codes.OK},
		{"bodies and trailers, each answered by its kind", proxy.Bodies, codes.OK},
		{"a response first", proxy.ResponseFirst, codes.InvalidArgument},
		{"a response twice", proxy.Twice, codes.InvalidArgument}} {
		o := r.one(tt.fault)
		assert.Equal(t, tt.code, status.Code(o.Err), "%s: %v", tt.name, o.Err)
	}
	s, ask := r.stream(r.proxy()), proxy.Ask(":path", path)
	ask.ObservabilityMode = true
	require.NoError(t, s.Send(ask))
	before := r.Counts.GETs.Load()
	require.NoError(t, s.Send(proxy.Ask(":path", path)))
	need.Of(s.Recv())(t)
	assert.Equal(t, before+1, r.Counts.GETs.Load(), "one that nobody hears is not decided on")
	require.NoError(t, s.Send(proxy.Ask(":path", path)))
	_, err := s.Recv()
	assert.Equal(t, codes.InvalidArgument, status.Code(err), "request headers twice")
	r.quiet()
}

func TestRequestsThatCannotBeRead(t *testing.T) {
	r, many := newRig(t, nil), make([]string, 0, 2000)
	for i := range 1000 {
		many = append(many, fmt.Sprint("h", i), "x")
	}
	for name, tt := range map[string]struct {
		words []string
		want  int
	}{
		"a header of 64 KB":          {[]string{":path", path, "x", strings.Repeat("a", 64<<10)}, 431},
		"1,000 headers":              {append([]string{":path", path}, many...), 431},
		"a path that is not UTF-8":   {[]string{":path", "/clips/\xff\xfe/1"}, 400},
		"no path":                    {[]string{"x", "y"}, 400},
		"a part that is no number":   {[]string{":path", "/clips/7f3a9c21e0b4d655/99999999"}, 400},
		"a path of no rule":          {[]string{":path", "/else"}, 0},
		"a method of no rule":        {[]string{":path", path, ":method", "POST"}, 0},
		"an id that is nobody's":     {[]string{":path", path, "x-elderwall-get", "00000000000000ff"}, 0},
		"a budget that is no number": {[]string{":path", path, "x-envoy-expected-rq-timeout-ms", "soon"}, 0}} {
		p := r.proxy()
		s := r.stream(p)
		require.NoError(t, s.Send(proxy.Ask(tt.words...)))
		m, err := s.Recv()
		require.NoError(t, err, name)
		assert.Equal(t, tt.want, int(m.GetImmediateResponse().GetStatus().GetCode()), name)
		p.Close()
	}
	r.quiet()
}

// A forward that failed goes on by a further call with the id: the same GET, its forwards counted on.
func TestAFurtherCall(t *testing.T) {
	r := newRig(t, nil)
	var failing atomic.Int64
	failing.Store(1)
	r.answer = func(string, map[string]string) proxy.Answer {
		if failing.Add(-1) >= 0 {
			return proxy.Answer{Status: 500}
		}
		return proxy.Answer{Status: 200, Headers: map[string]string{"x-elderwall-note": "hit"}}
	}
	o := r.one(proxy.None)
	require.NoError(t, o.Err)
	assert.Equal(t, []int{200, 1, 2}, []int{o.Status, o.Answers, o.Calls})
	r.quiet()
	assert.Equal(t, []int64{1, 2, 1, 1, 1}, []int64{r.Counts.GETs.Load(), r.Counts.Forwards.Load(), r.Counts.Returned.Load(), r.Counts.Fault.Load(), r.Counts.ProxyAgain.Load()})
	failing.Store(100)
	o = r.one(proxy.None)
	assert.Equal(t, 1, o.Answers)
	r.quiet()
	assert.EqualValues(t, 2, r.sum())
}

// A proxy that hangs up proves nothing of the host: the GET waits for it, and then is given up.
func TestHangUps(t *testing.T) {
	r := newRig(t, nil)
	for range 20 {
		for _, fault := range []proxy.Fault{proxy.GoneAfterAsk, proxy.GoneAfterTold, proxy.GoneHalfway, proxy.Silent} {
			r.one(fault)
		}
	}
	r.quiet()
	c := r.Counts
	assert.Equal(t, c.GETs.Load(), r.sum(), "each GET has one end")
	assert.Zero(t, c.Fault.Load()+c.Unanswered.Load()+c.Unreached.Load(), "no host is blamed")
	assert.Positive(t, c.ProxyHeld.Load())
	assert.Equal(t, 200, r.one(proxy.None).Status)
}

// An id goes on with a GET for its own proxy alone, and only while that waits.
func TestAnotherProxysID(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Calls.Hold = 5 })
	s := r.stream(r.proxy())
	require.NoError(t, s.Send(proxy.Ask(":path", path)))
	m := need.Of(s.Recv())(t)
	id := proxy.Set(m.GetRequestHeaders().GetResponse().GetHeaderMutation())["x-elderwall-get"]
	assert.Equal(t, 200, r.one(proxy.None, "x-elderwall-get", id).Status)
	assert.Zero(t, r.Counts.ProxyAgain.Load(), "its stream is open: what comes is a GET of its own")
	assert.EqualValues(t, 2, r.Counts.GETs.Load())
	require.NoError(t, s.Send(proxy.Response(200)))
	need.Of(s.Recv())(t)
}

// Two proxies that give their requests the same ids have GETs of their own.
func TestTheSameRequestIDs(t *testing.T) {
	r := newRig(t, nil)
	var all sync.WaitGroup
	for range 2 {
		p := r.proxy()
		all.Go(func() {
			for i := range 50 {
				o := p.Do(t.Context(), path, proxy.None, "x-request-id", fmt.Sprint(i))
				assert.Equal(t, []int{200, 1}, []int{o.Status, o.Answers})
			}
		})
	}
	all.Wait()
	r.quiet()
	assert.EqualValues(t, 100, r.Counts.Returned.Load())
}

// A purge between the decision and the answer: a copy from before it, or one that may be, does not go out.
func TestAPurgeBetweenDecisionAndAnswer(t *testing.T) {
	r := newRig(t, nil)
	var asked atomic.Int64
	r.answer = func(_ string, h map[string]string) proxy.Answer {
		if asked.Add(1) == 1 {
			r.handler.Take(changelog.Event{Purge: &changelog.Purge{Object: "7f3a9c21e0b4d655", Time: time.Now().UnixMilli()}})
			return proxy.Answer{Status: 200, Headers: map[string]string{"age": "100"}}
		}
		assert.NotEmpty(t, h["x-elderwall-max-age-ms"], "the next one is told")
		return proxy.Answer{Status: 200, Headers: map[string]string{"age": "0"}}
	}
	o := r.one(proxy.None)
	require.NoError(t, o.Err)
	assert.Equal(t, []int{200, 1, 2}, []int{o.Status, o.Answers, o.Calls})
	r.quiet()
	assert.EqualValues(t, 1, r.Counts.Returned.Load())
}

// A host that is told to drain between the decision and the proxy's sending keeps its grace by the end time; later ones do not name it.
func TestADrainBetweenDecisionAndSending(t *testing.T) {
	r, drained := newRig(t, nil, "10.0.0.1:80", "10.0.0.2:80"), false
	r.answer = func(host string, h map[string]string) proxy.Answer {
		if !drained && host == "10.0.0.1:80" {
			drained = true
			r.handler.Take(changelog.Event{Fleet: &changelog.Fleet{Hosts: []changelog.Host{entry(0, "10.0.0.1:80", "DRAINING")}}})
			by, err := strconv.ParseInt(h["x-elderwall-send-by"], 10, 64)
			assert.NoError(t, err)
			assert.Less(t, time.Until(time.UnixMilli(by)), 500*time.Millisecond)
		}
		return proxy.Answer{Status: 200}
	}
	p := r.proxy()
	for i := 0; i < 200 && !drained; i++ {
		p.Do(t.Context(), fmt.Sprintf("/clips/object-%d/0", i), proxy.None)
	}
	require.True(t, drained)
	r.mu.Lock()
	before := r.sent["10.0.0.1:80"]
	r.mu.Unlock()
	for i := range 100 {
		assert.Equal(t, 200, p.Do(t.Context(), fmt.Sprintf("/clips/object-%d/0", i), proxy.None).Status)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Equal(t, before, r.sent["10.0.0.1:80"])
}

// A processor that stands still under a burst: each request has the operator's choice at once, and none is decided on twice.
func TestAPausedProcessorUnderABurst(t *testing.T) {
	for _, open := range []bool{false, true} {
		r := newRig(t, func(o *Options) { o.Decide, o.Open = 0.02, open })
		p := r.proxy()
		p.Do(t.Context(), path, proxy.None)
		r.handler.mu.Lock()
		var all sync.WaitGroup
		var late, longest atomic.Int64
		began := time.Now()
		for i := range 2000 {
			all.Go(func() {
				o := p.Do(context.Background(), fmt.Sprintf("/clips/object-%d/0", i), proxy.None)
				if o.Unrouted == open && (open || o.Status == 503) && o.Answers == 1 {
					late.Add(1)
				}
				longest.Store(max(longest.Load(), int64(o.Decided)))
			})
		}
		all.Wait()
		took := time.Since(began)
		r.handler.mu.Unlock()
		assert.EqualValues(t, 2000, late.Load(), "all had the choice, while the processor stood still (%v)", took)
		assert.EqualValues(t, 2000, r.Counts.ProxyLate.Load())
		r.quiet()
		o := p.Do(t.Context(), path, proxy.None)
		assert.Equal(t, []any{200, false}, []any{o.Status, o.Unrouted})
		p.Close()
		t.Logf("open %t: longest wait %v", open, time.Duration(longest.Load()))
	}
}

func TestABoundOnWhatIsOpen(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Calls = calls.Settings{Open: 10, Share: 0.5, Hold: 0.3} })
	statuses := map[int]int{}
	for range 8 {
		o := r.one(proxy.GoneAfterTold)
		statuses[o.Status]++
	}
	assert.Equal(t, map[int]int{0: 5, 503: 3}, statuses, "a proxy's share")
	r.quiet()
	assert.Equal(t, 200, r.one(proxy.None).Status)
}

func TestImmediate(t *testing.T) {
	host := need.Of(standin.Listen("127.0.0.1:0", func(a standin.Ask) string {
		if a.Stop {
			return ""
		}
		return standin.Hit(a.ID, "bytes of "+a.Fields["path"])
	}))(t)
	t.Cleanup(host.Close)
	r := newRig(t, func(o *Options) { o.Rules.Routing, o.Decide = false, 5 }, host.Address)
	o := r.one(proxy.None)
	require.NoError(t, o.Err)
	assert.Equal(t, []int{200, 1}, []int{o.Status, o.Answers})
	assert.Contains(t, string(o.Body), "bytes of")
	r.quiet()
}

// Several thousand calls with all that proxies do wrong: none is left undecided, each GET has one end, and nothing is out at any host in the end.
func TestThousandsOfCalls(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Calls.Hold, o.Decide = 0.2, 2 })
	var failing atomic.Int64
	r.answer = func(string, map[string]string) proxy.Answer {
		switch n := failing.Add(1); {
		case n%50 == 0:
			return proxy.Answer{Status: 500}
		case n%70 == 0:
			return proxy.Answer{Status: 503, Headers: map[string]string{"x-elderwall-note": "full"}}
		}
		return proxy.Answer{Status: 200, Headers: map[string]string{"x-elderwall-note": "hit"}}
	}
	faults := []proxy.Fault{proxy.GoneAfterAsk, proxy.GoneAfterTold, proxy.GoneHalfway, proxy.Silent, proxy.Twice, proxy.ResponseFirst, proxy.Bodies}
	var all sync.WaitGroup
	var undecided, several atomic.Int64
	for k := range 4 {
		p := r.proxy()
		for w := range 16 {
			all.Go(func() {
				for i := range 60 {
					fault := proxy.None
					if i%5 == 0 {
						fault = faults[(i/5+w)%len(faults)]
					}
					o := p.Do(context.Background(), fmt.Sprintf("/clips/object-%d/0", (k*16+w+i)%500), fault)
					hung := fault != proxy.None && fault != proxy.Bodies
					if o.Answers == 0 && !hung {
						undecided.Add(1)
					}
					if o.Answers > 1 {
						several.Add(1)
					}
				}
			})
		}
	}
	all.Wait()
	assert.Zero(t, undecided.Load())
	assert.Zero(t, several.Load())
	r.quiet()
	c := r.Counts
	assert.Equal(t, c.GETs.Load(), r.sum()-0, "each GET has one end")
	assert.Greater(t, c.Returned.Load(), int64(2500))
	ended := c.Hit.Load() + c.Fault.Load() + c.Full.Load() + c.None.Load() + c.Unreached.Load() + c.Unanswered.Load() + c.Stopped.Load() + c.NoPlace.Load() + c.Expired.Load()
	assert.InDelta(t, c.Forwards.Load(), ended, float64(c.ProxyHeld.Load()), "forwards that are out")
}

// A drain under load: what comes is shed, what is open ends, and the service goes.
func TestADrainUnderLoad(t *testing.T) {
	r := newRig(t, nil)
	p := r.proxy()
	var stop atomic.Bool
	var all sync.WaitGroup
	var shed, other atomic.Int64
	for w := range 8 {
		all.Go(func() {
			for i := 0; !stop.Load(); i++ {
				o := p.Do(context.Background(), fmt.Sprintf("/clips/object-%d/0", (w+i)%100), proxy.None)
				switch {
				case o.Status == 503:
					shed.Add(1)
				case o.Status != 200 && o.Err == nil:
					other.Add(1)
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	r.Server.Close()
	require.Eventually(t, func() bool { return shed.Load() > 0 }, time.Second, time.Millisecond)
	assert.Equal(t, healthpb.HealthCheckResponse_NOT_SERVING, r.health())
	require.Eventually(t, r.Quiet, 2*time.Second, time.Millisecond)
	stop.Store(true)
	all.Wait()
	r.end()
	assert.Zero(t, other.Load())
	assert.Equal(t, r.Counts.ProxyCalls.Load(), r.Counts.Returned.Load()+r.Counts.Shed.Load()+r.Counts.GivenUp.Load()+r.Counts.Errored.Load())
}

// A stream that says nothing is closed in its time, one that was told a host and says no more once its GET is over.
func TestSilentStreams(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Speaks, o.Rules.Paths[0].Budget = 0.05, 0.2 })
	p := r.proxy()
	s := r.stream(p)
	_, err := s.Recv()
	assert.Equal(t, codes.DeadlineExceeded, status.Code(err))
	s = r.stream(p)
	require.NoError(t, s.Send(proxy.Ask(":path", path)))
	need.Of(s.Recv())(t)
	_, err = s.Recv()
	assert.Equal(t, codes.DeadlineExceeded, status.Code(err))
	r.quiet()
	assert.Equal(t, r.Counts.GETs.Load(), r.sum())
}

func FuzzRead(f *testing.F) {
	f.Add(path, "x-elderwall-get", "00000000000000ff")
	f.Add("/clips/%2e%2e/1", "authorization", "Bearer x")
	f.Add("", "x-envoy-expected-rq-timeout-ms", "-1")
	rules := Rules{Prefix: "x-elderwall-", Routing: true, Paths: []Path{{Pattern: regexp.MustCompile(`^/clips/(?P<object>[^/?]+)/(?P<part>[0-9]+)$`), Service: "segment", Budget: 5}}}
	f.Fuzz(func(t *testing.T, path, name, value string) {
		a, err := rules.Read(proxy.Headers(":path", path, name, value))
		if err != nil {
			return
		}
		assert.True(t, isHex(a.Object))
		assert.True(t, a.Budget > 0 && a.Budget <= 5)
		assert.True(t, a.Part >= 0 && a.Part < 1<<16)
	})
}

// A route that waits for its proxy to come again is decided anew when its host is told to drain: it would outlast the grace.
func TestADrainBeforeAFurtherCall(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Calls.Hold = 5 })
	r.answer = func(string, map[string]string) proxy.Answer { return proxy.Answer{Status: 500} }
	p := r.proxy()
	p.Tries = 1
	failed := p.Do(t.Context(), path, proxy.None)
	id := failed.Headers["x-elderwall-again"]
	require.NotEmpty(t, id)
	var waits call.Route
	r.Server.mu.Lock()
	for _, a := range r.asks {
		waits = a.routes[0]
	}
	r.Server.mu.Unlock()
	drains := rigs.Entry(waits.Host, waits.Address, "DRAINING")
	r.handler.Take(changelog.Event{Fleet: &changelog.Fleet{Hosts: []changelog.Host{drains}}})
	r.answer = func(string, map[string]string) proxy.Answer { return proxy.Answer{Status: 200} }
	o := p.Do(t.Context(), path, proxy.None, "x-elderwall-get", id)
	assert.Equal(t, 200, o.Status)
	assert.NotContains(t, o.Hosts, waits.Address)
	assert.Len(t, o.Hosts, 1)
	r.quiet()
	assert.EqualValues(t, 1, r.Counts.Recalled.Load())
}

// callsEnv is how many calls the test of accounts plays; the long run is no part of CI.
const callsEnv = "ELDERWALL_TEST_CALLS"

// Proxies of which one call in twenty never tells how it went: what the module has out at hosts is what the caches have, but
// for those within their hold, and falls to nothing.
func TestAccountsWithLostEnds(t *testing.T) {
	n := 4000
	if text := os.Getenv(callsEnv); text != "" {
		n, _ = strconv.Atoi(text)
	}
	r := newRig(t, func(o *Options) { o.Calls.Hold, o.Decide = 0.1, 2 })
	var held atomic.Int64 // forwards that caches are at
	r.answer = func(string, map[string]string) proxy.Answer {
		held.Add(1)
		time.Sleep(time.Millisecond)
		held.Add(-1)
		return proxy.Answer{Status: 200, Headers: map[string]string{"x-elderwall-note": "hit"}}
	}
	var all sync.WaitGroup
	var next, lost atomic.Int64
	for range 32 {
		p := r.proxy()
		p.Linger = time.Millisecond
		all.Go(func() {
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				fault := proxy.None
				if i%20 == 0 {
					fault = proxy.GoneAfterTold
					lost.Add(1)
				}
				p.Do(context.Background(), fmt.Sprintf("/clips/object-%d/0", i%500), fault)
			}
		})
	}
	most, done := int64(0), make(chan bool)
	go func() { all.Wait(); close(done) }()
	for looking := true; looking; {
		select {
		case <-done:
			looking = false
		case <-time.After(5 * time.Millisecond):
			gets, _ := r.Count()
			most = max(most, int64(gets)-held.Load())
		}
	}
	r.quiet()
	c := r.Counts
	t.Logf("%d calls, %d lost; at most %d open beyond what caches had", n, lost.Load(), most)
	assert.Equal(t, c.GETs.Load(), r.sum())
	assert.Equal(t, lost.Load(), c.ProxyHeld.Load(), "those alone were given up")
	assert.Equal(t, int64(n)-lost.Load(), c.Returned.Load())
	assert.Equal(t, c.Forwards.Load(), c.Hit.Load()+c.Stopped.Load()+c.NoPlace.Load(), "nothing is out at any host")
	assert.Less(t, most, int64(n)/4)
}
