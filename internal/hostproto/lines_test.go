package hostproto_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/routing"
	"elderwall/internal/hostproto"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

// answers feeds text in pieces of a size and gives back the answers, until the first error.
func answers(text string, piece int, room func(int) bool) (got []hostproto.Answer, err error) {
	r := hostproto.Reader{Room: room}
	return need.Pieces([]byte(text), piece, r.Space, r.Fed, func() (hostproto.Answer, bool, error) {
		a, ok, err := r.Next()
		a.ID = []byte(string(a.ID)) // Space ends it
		return a, ok, err
	})
}

func roomy(int) bool { return true }

func TestWhichAnswerIsUnderWay(t *testing.T) {
	r := hostproto.Reader{Room: roomy}
	for _, step := range []struct {
		bytes string
		under int
	}{{"a HI", 1}, {"T - 2\r\nx", 1}, {"x\r\n", 0}, {"b NONE - 0\r\n\r\nc", 3}, {" PONG\r\nd", 4}, {" LATE - 0\r\n\r\n", 0}} {
		r.Fed(copy(r.Space(), step.bytes))
		for {
			if _, ok, err := r.Next(); !ok {
				require.NoError(t, err)
				break
			}
		}
		assert.Equal(t, step.under, r.Under(), step.bytes)
	}
}

func TestAnswers(t *testing.T) {
	long, empty := strings.Repeat("x\r\n", 80000), []byte{}
	for _, tt := range []struct {
		text string
		want hostproto.Answer
	}{
		{standin.Hit("a", "bytes"), hostproto.Answer{Word: hostproto.Hit, Note: routing.CacheHit, Body: []byte("bytes")}},
		{standin.Hit("a", long), hostproto.Answer{Word: hostproto.Hit, Note: routing.CacheHit, Body: []byte(long)}},
		{standin.Answer("a", "HIT", "rev=1,detail=parent,fill=20", "x"), hostproto.Answer{Word: hostproto.Hit, Note: routing.Filled, Waited: 0.02, Body: []byte("x")}},
		{standin.Answer("a", "HIT", "detail=parent,fill=1e300", "x"), hostproto.Answer{Word: hostproto.Hit, Note: routing.Filled, Body: []byte("x")}},
		{standin.Answer("a", "HIT", "detail=parent,fill=-4", "x"), hostproto.Answer{Word: hostproto.Hit, Note: routing.Filled, Body: []byte("x")}},
		{standin.Answer("a", "HIT", "detail=parent,fill=NaN", "x"), hostproto.Answer{Word: hostproto.Hit, Note: routing.Filled, Body: []byte("x")}},
		{standin.Answer("a", "HIT", "detail=origin", "x"), hostproto.Answer{Word: hostproto.Hit, Note: routing.FilledByOrigin, Body: []byte("x")}},
		{standin.Answer("a", "HIT", "detail=shared", "x"), hostproto.Answer{Word: hostproto.Hit, Note: routing.FillCoalesced, Body: []byte("x")}},
		{standin.Answer("a", "HIT", "detail=old", "x"), hostproto.Answer{Word: hostproto.Hit, Note: routing.StaleHit, Body: []byte("x")}},
		{standin.Answer("a", "VALID", "detail=mem", ""), hostproto.Answer{Word: hostproto.Valid, Note: routing.CacheHit, Body: empty}},
		{standin.Answer("a", "VALID", "rev=7,detail=old", ""), hostproto.Answer{Word: hostproto.Valid, Note: routing.StaleHit, Tag: "7", Body: empty}},
		{standin.Answer("a", "NONE", "-", ""), hostproto.Answer{Word: hostproto.None, Body: empty}},
		{standin.Answer("a", "NONE", "detail=absent", ""), hostproto.Answer{Word: hostproto.None, Note: routing.SourceNotCached, Body: empty}},
		{standin.Answer("a", "SHED", "detail=denied", ""), hostproto.Answer{Word: hostproto.Shed, Note: routing.SourceRejected, Body: empty}},
		{standin.Answer("a", "SHED", "detail=crowded", ""), hostproto.Answer{Word: hostproto.Shed, Note: routing.FillsExhausted, Body: empty}},
		{standin.Answer("a", "FAULT", "detail=unreached", ""), hostproto.Answer{Word: hostproto.Fault, Note: routing.SourceFailed, Body: empty}},
		{standin.Answer("a", "FAULT", "detail=behind", ""), hostproto.Answer{Word: hostproto.Fault, Note: routing.OriginFailed, Body: empty}},
		{standin.Answer("a", "LATE", "detail=new", ""), hostproto.Answer{Word: hostproto.Late, Body: empty}},
		{"a PONG\r\n", hostproto.Answer{Word: hostproto.Pong}},
		{"a PONG - 0\r\n\r\n", hostproto.Answer{Word: hostproto.Pong, Body: empty}},
	} {
		tt.want.ID = []byte("a")
		for _, piece := range []int{1, 11, 1 << 20} {
			got, err := answers(tt.text+tt.text, piece, roomy)
			require.NoError(t, err, "%.40q", tt.text)
			assert.Equal(t, []hostproto.Answer{tt.want, tt.want}, got, "%.40q", tt.text)
		}
	}
}

func TestABodyThatHasNoRoomIsDrained(t *testing.T) {
	text := standin.Hit("a", strings.Repeat("x", 9000)) + standin.Hit("b", "y")
	for _, piece := range []int{1, 5000, 1 << 20} {
		got, err := answers(text, piece, func(n int) bool { return n < 9000 })
		require.NoError(t, err)
		require.Len(t, got, 2)
		assert.Equal(t, []bool{true, false}, []bool{got[0].Cut, got[1].Cut})
		assert.Empty(t, got[0].Body)
		assert.Equal(t, "y", string(got[1].Body))
	}
}

func TestHostileAnswers(t *testing.T) {
	for _, text := range []string{
		"\r\n", "a\r\n", " HIT - 0\r\n", "a WHAT - 0\r\n", "a HIT -\r\n", "a HIT - 0 0\r\n", "a HIT - -1\r\n",
		"a HIT - x\r\n", "a HIT - 99999999\r\n", "a HIT - 99999999999999999999\r\n", "a HIT detail 0\r\n\r\n", "a HIT - 0\n\r\n",
		"a HIT - 1\r\nxyz", strings.Repeat("a", 5000),
	} {
		for _, piece := range []int{1, 1 << 20} {
			got, err := answers(text, piece, roomy)
			assert.Error(t, err, "%.40q", text)
			assert.Empty(t, got, "%.40q", text)
		}
	}
}

func TestRequests(t *testing.T) {
	bare := hostproto.Request{ID: "9b1f", Service: "segment", Object: "7f3a", Part: "3", Budget: 1500}
	full := bare
	full.Source, full.Rank, full.MaxAge, full.Tag, full.Body = "s-0", 2, 900, "4be0", []byte("xy")
	full.Join, full.HeldOnly, full.Renew = true, true, true
	for want, q := range map[string]hostproto.Request{
		"REQ 9b1f queue=segment,path=7f3a,blk=3,budget=1500 0\r\n":                                                   bare,
		"REQ 9b1f queue=segment,path=7f3a,blk=3,budget=1500,up=s-0,store=2,cap=900,do=share+peek+swr,inm=4be0 2\r\n": full,
	} {
		assert.Equal(t, want, string(q.AppendHead(nil)))
	}
	assert.Equal(t, "STOP 9b1f\r\nHELO t\r\n", string(hostproto.AppendHello(hostproto.AppendStop(nil, "9b1f"), "t")))
}

func FuzzAnswers(f *testing.F) {
	f.Add(standin.Hit("a", "bytes") + "b PONG\r\n" + standin.Answer("c", "NONE", "-", ""))
	f.Add(standin.Hit("a", "odd") + standin.Hit("b", "even"))
	f.Fuzz(func(t *testing.T, text string) {
		for _, room := range []func(int) bool{roomy, func(n int) bool { return n%2 == 0 }} {
			whole, wholeErr := answers(text, 1<<20, room)
			bytewise, err := answers(text, 1, room)
			assert.Equal(t, whole, bytewise)
			assert.Equal(t, wholeErr == nil, err == nil)
		}
	})
}
