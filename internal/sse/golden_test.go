package sse_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"elderwall/internal/goldentest"
	"elderwall/internal/sse"
)

const (
	plainHead   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// goldenReplies are replies of a change log, sound and not.
func goldenReplies() []string {
	bodies := []string{
		"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r", "\ufeffid: 1\ndata: a\n\n", "\ufeff",
		": comment\n\n", "data: a\ndata: b\n\n", "data\n\n", "data:\n\n", "data:a\n\n", "data:  a\n\n", "id: 2\n\ndata: a\n\n",
		"id: a\x00b\ndata: c\n\n", "id\ndata: a\n\n", "event: x\nretry: 5\nother\ndata: a\n\n", "data: a\n", "data: a\n\ndata: b",
		"id: 7\ndata: a\n\ndata: b\n\n", "data: a\n\r\n", "\n\n\n", ":\n",
	}
	replies := []string{
		"", "HTTP/1.1", "HTTP/1.1 503 Busy\r\n\r\n", "nonsense\r\n", "HTTP/1.1 200\r\n\r\ndata: a\n\n", "HTTP/2 200 OK\r\n\r\n",
		"HTTP/1.0 200 OK\n\ndata: a\n\n", "HTTP/1.1 200 OK\r\ntransfer-encoding:CHUNKED\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n",
		chunkedHead + "x\r\n", chunkedHead + "-1\r\n", chunkedHead + "3\r\nabcd\r\n", chunkedHead + "80000000\r\n",
		chunkedHead + " 9 ;name=value\r\ndata: a\n\n\r\n0\r\nTrailer: x\r\n\r\nbehind", chunkedHead + "0\r\n",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 17<<10),
	}
	for _, body := range bodies {
		replies = append(replies, plainHead+body, chunkedHead+inChunks(body, 3)+"0\r\n\r\n")
	}
	return replies
}

func inChunks(body string, size int) string {
	var text strings.Builder
	for piece := range slices.Chunk([]byte(body), size) {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(piece), piece)
	}
	return text.String()
}

// readReply feeds a reply in pieces; an error is the first one.
func readReply(reply string, piece int) (events []sse.Event, r *sse.Reader, err error) {
	r = &sse.Reader{}
	for part := range slices.Chunk([]byte(reply), piece) {
		if err = r.Feed(part); err != nil {
			return events, r, err
		}
		for e, ok := r.Next(); ok; e, ok = r.Next() {
			events = append(events, sse.Event{ID: e.ID, Data: slices.Clone(e.Data)})
		}
	}
	return events, r, nil
}

func TestGoldenEvents(t *testing.T) {
	for _, piece := range []int{1, 5, 1 << 20} {
		var tr goldentest.Transcript
		for _, reply := range goldenReplies() {
			events, r, err := readReply(reply, piece)
			tr.Bytes("reply", []byte(reply[:min(len(reply), 200)]))
			tr.Values("events", events)
			tr.Values("in stream, over, under way", r.InStream(), r.Over(), r.UnderWay())
			tr.Rejected(err)
		}
		tr.Check(t, "events.golden") // the same for all pieces
	}
}

func TestGoldenRequest(t *testing.T) {
	var tr goldentest.Transcript
	tr.Bytes("from the start", sse.AppendRequest(nil, "127.0.0.1:7070", "/changes", 0))
	tr.Bytes("behind others", sse.AppendRequest([]byte("before"), "h", "/p", 1<<40))
	tr.Check(t, "request.golden")
}

func TestGoldenLongEvents(t *testing.T) {
	const most = 4 << 20
	var tr goldentest.Transcript
	for _, length := range []int{most - 1, most, most + 1} {
		data := strings.Repeat("x", length-len("data: \n\n"))
		events, _, err := readReply(plainHead+"data: "+data+"\n\n", 1<<20)
		tr.Values("events of so many bytes", length, len(events))
		tr.Rejected(err)
	}
	tr.Check(t, "long-events.golden")
}
