package sse_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/sse"
)

// A stream may be written in each of the forms that server-sent events allow, and come in pieces that end anywhere.
func TestFormsOfAStream(t *testing.T) {
	const stream = ": here\n\nid: 1\ndata: {\"a\":1}\n\n: cut\nid:2\n: between\nevent: x\ndata:b\n: between\ndata: c\n\nretry: 9\nid\n\nid: 3\n\ndata: d\n\n"
	want := []string{`1={"a":1}`, "2=b\nc", "3=d"}
	mixed := strings.NewReplacer("id: 1\n", "id: 1\r", "\n\n", "\r\r\n", ": between\n", ": between\r\n").Replace(stream)
	for name, text := range map[string]string{
		"LF": stream, "CR LF": strings.ReplaceAll(stream, "\n", "\r\n"), "CR": strings.ReplaceAll(stream, "\n", "\r"), "mixed": mixed,
	} {
		for _, mark := range []string{"", "\ufeff"} {
			text := mark + text
			for head, whole := range map[string]string{plain: plain + text, chunked: chunked + chunks(text, 3) + "0\r\n\r\n"} {
				for cut := range whole { // two pieces, cut at each byte
					got, err := cutAt(whole, cut)
					require.NoError(t, err)
					require.Equal(t, want, got, "%s, %q, %.40q, cut at %d", name, mark, head, cut)
				}
				got, _, err := events(whole, 1)
				require.NoError(t, err)
				assert.Equal(t, want, got, "%s, %q, %.40q, byte by byte", name, mark, head)
			}
		}
	}
}

func cutAt(text string, cut int) (got []string, err error) {
	var r sse.Reader
	for _, piece := range []string{text[:cut], text[cut:]} {
		if err := r.Feed([]byte(piece)); err != nil {
			return got, err
		}
		for e, ok := r.Next(); ok; e, ok = r.Next() {
			got = append(got, e.ID+"="+string(e.Data))
		}
	}
	return got, nil
}

// An event is here once its last line end is, and does not wait for what may follow a CR.
func TestAnEventWaitsForNoByteMore(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		got, _, err := events(plain+strings.Join([]string{"id: 1", "data: a", ""}, end)+end, 1)
		require.NoError(t, err)
		assert.Equal(t, []string{"1=a"}, got, "%q", end)
	}
}

func TestAnIdWithNulIsNone(t *testing.T) {
	got, _, err := events(plain+"id: 1\nid: 2\x00\ndata: a\n\n", 100)
	require.NoError(t, err)
	assert.Equal(t, []string{"1=a"}, got)
}

func TestWhatIsUnderWay(t *testing.T) {
	for _, tt := range []struct {
		text string
		want bool
	}{
		{"", true},
		{"HTTP/1.1 200 OK\r\n", true},
		{plain, false},
		{plain + ": here", true},
		{plain + ": here\n", false},
		{plain + ": here\n\n", false},
		{plain + "id: 1\n", true},
		{plain + "id: 1\n\n", false},
		{plain + "data: a\n: here\n", true},
		{plain + "data: a\n: here\n\n", false},
		{plain + "data: a\r\r", false},
		{plain + "\xef", true},
		{plain + "\ufeff", false},
		{chunked, false},
		{chunked + "5", true},
		{chunked + "5\r\n", false},
		{chunked + "7\r\n: here\n", false},
		{chunked + "7\r\n: here\n\r\n", false},
		{chunked + "0\r\n", true},
		{chunked + "0\r\n\r\n", false},
	} {
		var r sse.Reader
		require.NoError(t, r.Feed([]byte(tt.text)))
		for _, ok := r.Next(); ok; _, ok = r.Next() {
		}
		assert.Equal(t, tt.want, r.UnderWay(), "%q", tt.text)
	}
}

// A long event that comes in small pieces costs no more than its length: each byte is looked at once.
func TestALongEventInSmallPieces(t *testing.T) {
	const size = 1 << 20
	took := func(bytes int) time.Duration {
		text, start := plain+"data: "+strings.Repeat("a", bytes)+"\n\n", time.Now()
		got, _, err := events(text, 8)
		require.NoError(t, err)
		require.Len(t, got, 1)
		return time.Since(start)
	}
	small := max(took(size/16), took(size/16), time.Millisecond)
	assert.Less(t, took(size), 100*small, fmt.Sprintf("16 times the length of one of %v", small))
}
