package load

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/call"
	"elderwall/internal/downstream"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
)

func TestPlans(t *testing.T) {
	for _, name := range []string{"cores.jsonnet", "division.jsonnet"} {
		assert.NotEmpty(t, need.Of(Read(filepath.Join("../../examples", name)))(t).Subjects, name)
	}
	for name, tt := range map[string][2]string{ // what is wrong, and what is said of it
		"no case":                    {`{}`, "cases: there are none"},
		"a rate with no unit":        {`{cases: [{name: "a", rate: 5}]}`, "rate"},
		"a peak that comes later":    {`{cases: [{name: "a", of_peak: 0.5, peak: "b"}, {name: "b"}]}`, "closed loop that comes before"},
		"a peak at a rate":           {`{cases: [{name: "b", rate: "5/s"}, {name: "a", of_peak: 0.5, peak: "b"}]}`, "closed loop"},
		"a share without a peak":     {`{cases: [{name: "a", of_peak: 0.5}]}`, "goes with peak"},
		"more than a client may ask": {`{cases: [{name: "a", under_way: 33}]}`, "under_way"},
		"a size with no unit":        {`{farm: {bytes: 1000}, cases: [{name: "a"}]}`, "farm.bytes"},
		"no name":                    {`{cases: [{}]}`, "name: is needed"},
	} {
		_, err := decode("p", tt[0])
		assert.ErrorContains(t, err, tt[1], name)
	}
}

// peer is a dispatcher that answers as a test says.
type peer struct {
	*downstream.Server
	process func(p *peer, c call.Call, g call.GET)
	givenUp atomic.Int64
}

func (p *peer) Process(c call.Call, g call.GET) { p.process(p, c, g) }
func (p *peer) GiveUp(call.Call)                { p.givenUp.Add(1) }
func (p *peer) Ready() bool                     { return true }

func (p *peer) served(c call.Call) { p.Room.Take(1); c.Serve([]byte("x"), false) }

// play has a peer asked by a case, at a rate, for some seconds.
func play(t *testing.T, c Case, rate, warm, seconds float64, process func(p *peer, c call.Call, g call.GET)) (*Tally, *peer) {
	o, _ := rig.Life(t)
	p := &peer{process: process}
	p.Server = &downstream.Server{Handler: p, Log: o.Log, Counts: o.Counts, Room: o.Room, Most: 100}
	l := need.Listener(t)
	o.Group.Go(func() error { return p.Serve(o.Context, l) })
	return need.Of(Play(l.Addr().String(), c, PlayOptions{Rate: rate, Seed: 1, Warm: warm, Seconds: seconds}))(t), p
}

var small = Case{Connections: 2, UnderWay: 4, Objects: 10, Parts: 2, Service: "segment", Budget: 0.5}

// A dispatcher that holds up its clients must not look better for it: delays run from when a GET was to be sent.
func TestDelaysRunFromWhenAGETWasToBeSent(t *testing.T) {
	var held sync.Once
	stop := make(chan bool)
	time.AfterFunc(400*time.Millisecond, func() { close(stop) })
	one := small
	one.Connections = 1
	tally, _ := play(t, one, 500, 0, 0.5, func(p *peer, c call.Call, _ call.GET) {
		held.Do(func() { <-stop }) // one connection is held up, and all that it had to send
		p.served(c)
	})
	assert.Greater(t, tally.Served, int64(150))
	assert.Greater(t, tally.Delays.ValueAtQuantile(50), int64(100_000), "µs: half of them were to be sent while it was held up")
	assert.Zero(t, tally.Unanswered+tally.Broken)
}

// Guards against a GET that goes on at the dispatcher though its client has left, and against one that is counted twice.
func TestClientsThatLeaveAndComeAgain(t *testing.T) {
	var mu sync.Mutex
	var silent int64
	asked, leaving := map[string]int{}, small
	leaving.GiveUp, leaving.Patience, leaving.Again = 1, 0.01, 1
	tally, p := play(t, leaving, 400, 0, 0.4, func(p *peer, c call.Call, g call.GET) {
		mu.Lock()
		defer mu.Unlock()
		asked[g.ID]++
		switch len(asked) % 3 {
		case 0:
			c.Refuse(1)
		case 1:
			p.served(c)
		default:
			silent++
		}
	})
	ends := tally.Served + tally.Refused + tally.Left + tally.Unanswered
	need.Soon(t, func() bool { // the peer may be behind its clients
		mu.Lock()
		defer mu.Unlock()
		return int64(len(asked)) >= ends && p.givenUp.Load() >= silent
	})
	mu.Lock()
	defer mu.Unlock()
	assert.Positive(t, min(tally.Served, tally.Refused, tally.Left))
	assert.Equal(t, silent, p.givenUp.Load(), "each GET that has no answer is given up, and no other one")
	assert.GreaterOrEqual(t, tally.Left, silent, "clients also leave whose answer is on its way")
	assert.EqualValues(t, len(asked), ends, "each GET has one end")
	assert.Greater(t, len(asked), 180, "each comes again")
	for id, n := range asked {
		assert.Equal(t, 1, n, "%s: a retry has an id of its own", id)
	}
}

func TestAClosedLoopKeepsSoManyUnderWay(t *testing.T) {
	var mu sync.Mutex
	under, most, sum, objects, hot := 0, 0, 0, map[string]int{}, small
	hot.Hot = 0.6
	tally, _ := play(t, hot, 0, 0.1, 0.3, func(p *peer, c call.Call, g call.GET) {
		mu.Lock()
		defer mu.Unlock()
		under++
		sum++
		most = max(most, under)
		objects[g.Object]++
		time.AfterFunc(time.Millisecond, func() { mu.Lock(); under--; mu.Unlock(); p.served(c) })
	})
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, 8, most)
	assert.Greater(t, tally.Served, int64(200))
	top := slices.Max(slices.Collect(maps.Values(objects)))
	assert.InDelta(t, 0.64, float64(top)/float64(sum), 0.06, "a tenth of the others falls to the hot one too")
}

func TestTheTableHasWhatWasMeasured(t *testing.T) {
	r := &Result{Subject: "s", Case: "c", Seconds: 2, Tally: *newTally()}
	r.Served, r.CPU = 1000, 50_000
	_ = r.Delays.RecordValue(1500)
	r.finish()
	var out bytes.Buffer
	require.NoError(t, Table(&out, []*Result{r}))
	lines := strings.Split(out.String(), "\n")
	assert.Equal(t, []string{"c", "s", "500", "0", "1.50", "1.50", "1.50", "1.5", "50.0"}, strings.Fields(lines[1])[:9])
	_, err := Read(filepath.Join(os.TempDir(), "none"))
	assert.Error(t, err)
}
