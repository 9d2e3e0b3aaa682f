package sse_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/sse"
)

// events feeds text in pieces of a size and gives back the events, until the first error.
func events(text string, piece int) (got []string, over bool, err error) {
	var r sse.Reader
	for len(text) > 0 {
		n := min(piece, len(text))
		if err := r.Feed([]byte(text[:n])); err != nil {
			return got, false, err
		}
		text = text[n:]
		for e, ok := r.Next(); ok; e, ok = r.Next() {
			got = append(got, e.ID+"="+string(e.Data))
		}
	}
	return got, r.Over(), nil
}

const (
	plain   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n"
)

func chunks(text string, size int) string {
	var b strings.Builder
	for len(text) > 0 {
		n := min(size, len(text))
		fmt.Fprintf(&b, "%x;x=y\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	return b.String()
}

func TestEvents(t *testing.T) {
	const stream = ": here\n\nid: 1\ndata: {\"a\":1}\n\nid:2\r\nevent: x\r\ndata:b\r\ndata: c\r\n\r\n: cut\n\nid: 3\n\ndata: d\n\nid: 4\ndata: no end"
	want := []string{`1={"a":1}`, "2=b\nc", "3=d"}
	for _, text := range []string{plain + stream, chunked + chunks(stream, 5), chunked + chunks(stream, 1000) + "0\r\n\r\n"} {
		for _, piece := range []int{1, 9, 1 << 20} {
			got, over, err := events(text, piece)
			require.NoError(t, err)
			assert.Equal(t, want, got)
			assert.Equal(t, strings.HasSuffix(text, "0\r\n\r\n"), over)
		}
	}
}

func TestHostileReplies(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 404 Not Found\r\n", "SSH-2.0 200\r\n", "\r\n", strings.Repeat("a", 20000),
		chunked + "xyz\r\n", chunked + "-1\r\n", chunked + "fffffffff\r\n", chunked + "2\r\nabc\r\n",
		plain + "data: " + strings.Repeat("a", 5<<20), plain + strings.Repeat("data: "+strings.Repeat("a", 1000)+"\n", 5000),
	} {
		got, _, err := events(text, 1<<14)
		assert.Error(t, err, "%.60q", text)
		assert.Empty(t, got, "%.60q", text)
	}
}

func TestRequest(t *testing.T) {
	assert.Equal(t, "GET /changes HTTP/1.1\r\nHost: h:1\r\nAccept: text/event-stream\r\nLast-Event-ID: 41\r\n\r\n",
		string(sse.AppendRequest(nil, "h:1", "/changes", 41)))
}

func FuzzEvents(f *testing.F) {
	f.Add(plain + "id: 1\ndata: a\n\n")
	f.Add(chunked + "5\r\ndata:\r\n3\r\na\n\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		whole, _, wholeErr := events(text, 1<<20)
		bytewise, _, err := events(text, 1)
		if wholeErr == nil && err == nil {
			assert.Equal(t, whole, bytewise)
		}
	})
}
