package load

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
	"elderwall/internal/thrift"
)

func TestPlans(t *testing.T) {
	for _, name := range []string{"cores.jsonnet", "division.jsonnet"} {
		p, err := Read(filepath.Join("../../examples", name))
		require.NoError(t, err, name)
		assert.NotEmpty(t, p.Subjects, name)
	}
	for name, tt := range map[string][2]string{ // what is wrong, and what is said of it
		"no case":                    {`{}`, "cases: there are none"},
		"a rate with no unit":        {`{cases: [{name: "a", rate: 5}]}`, "rate"},
		"a peak that comes later":    {`{cases: [{name: "a", of_peak: 0.5, peak: "b"}, {name: "b"}]}`, "closed loop that comes before"},
		"a peak at a rate":           {`{cases: [{name: "b", rate: "5/s"}, {name: "a", of_peak: 0.5, peak: "b"}]}`, "closed loop"},
		"a share without a peak":     {`{cases: [{name: "a", of_peak: 0.5}]}`, "goes with peak"},
		"more than a client may ask": {`{cases: [{name: "a", under_way: 33}]}`, "under_way"},
		"a size with no unit":        {`{farm: {bytes: 1000}, cases: [{name: "a"}]}`, "farm.bytes"},
		"no name":                    {`{cases: [{}]}`, "name: is needed"}} {
		_, err := decode("p", tt[0])
		assert.ErrorContains(t, err, tt[1], name)
	}
}

// peer answers calls as a test says; it stops at the end of the test.
func peer(t *testing.T, answer func(c thrift.Call, reply func(thrift.Reply))) string {
	l := need.Of(net.Listen("tcp", "127.0.0.1:0"))(t)
	var all sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); all.Wait() })
	all.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer func() { _ = conn.Close() }()
				var mu sync.Mutex
				reply := func(r thrift.Reply) {
					mu.Lock()
					defer mu.Unlock()
					_, _ = (&net.Buffers{r.Head, r.Body, r.Tail}).WriteTo(conn)
				}
				var frames thrift.Frames
				for {
					n, err := conn.Read(frames.Space())
					if err != nil {
						return
					}
					frames.Fed(n)
					for frame, ok, _ := frames.Next(); ok; frame, ok, _ = frames.Next() {
						c, err := thrift.Parse(frame)
						if err != nil {
							return
						}
						answer(c, reply)
					}
				}
			})
		}
	})
	return l.Addr().String()
}

func served(c thrift.Call, reply func(thrift.Reply)) {
	if c.Method == thrift.Process {
		reply(thrift.Served(c.Seq, []byte("x"), false))
	}
}

var small = Case{Connections: 2, UnderWay: 4, Objects: 10, Parts: 2, Service: "segment", Budget: 0.5}

// A dispatcher that holds up its clients must not look better for it: delays run from when a GET was to be sent.
func TestDelaysRunFromWhenAGETWasToBeSent(t *testing.T) {
	var held sync.Once
	stop := make(chan bool)
	time.AfterFunc(400*time.Millisecond, func() { close(stop) })
	address := peer(t, func(c thrift.Call, reply func(thrift.Reply)) {
		held.Do(func() { <-stop }) // one connection is held up, and all that it had to send
		served(c, reply)
	})
	one := small
	one.Connections = 1
	tally := need.Of(Play(address, one, "", 500, 1, 0, 0.5))(t)
	assert.Greater(t, tally.Served, int64(150))
	assert.Greater(t, tally.Delays.ValueAtQuantile(50), int64(100_000), "µs: half of them were to be sent while it was held up")
	assert.Zero(t, tally.Unanswered+tally.Broken)
}

func TestClientsThatLeaveAndComeAgain(t *testing.T) {
	var mu sync.Mutex
	asked, givenUp := map[string]int{}, 0
	address := peer(t, func(c thrift.Call, reply func(thrift.Reply)) {
		mu.Lock()
		defer mu.Unlock()
		switch c.Method {
		case thrift.Process:
			asked[string(c.ID)]++
			if len(asked)%3 == 0 {
				reply(thrift.Refused(c.Seq, 1))
			} else if len(asked)%3 == 1 {
				served(c, reply)
			} // else it is silent
		case thrift.GiveUp:
			givenUp++
		}
	})
	leaving := small
	leaving.GiveUp, leaving.Patience, leaving.Again = 1, 0.01, 1
	tally := need.Of(Play(address, leaving, "", 400, 1, 0, 0.4))(t)
	mu.Lock()
	defer mu.Unlock()
	assert.Positive(t, min(tally.Served, tally.Refused, tally.Left))
	assert.GreaterOrEqual(t, int64(givenUp), tally.Left)
	assert.Greater(t, len(asked), 180, "each comes again")
	for id, n := range asked {
		assert.Equal(t, 1, n, "%s: a retry has an id of its own", id)
	}
}

func TestAClosedLoopKeepsSoManyUnderWay(t *testing.T) {
	var mu sync.Mutex
	under, most, objects := 0, 0, map[string]int{}
	address := peer(t, func(c thrift.Call, reply func(thrift.Reply)) {
		mu.Lock()
		under++
		most = max(most, under)
		objects[string(c.Object)]++
		mu.Unlock()
		time.AfterFunc(time.Millisecond, func() { mu.Lock(); under--; mu.Unlock(); served(c, reply) })
	})
	hot := small
	hot.Hot = 0.6
	tally := need.Of(Play(address, hot, "", 0, 1, 0.1, 0.3))(t)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, 8, most)
	assert.Greater(t, tally.Served, int64(200))
	sum, top := 0, 0
	for _, n := range objects {
		sum, top = sum+n, max(top, n)
	}
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
