package downstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/call"
	"elderwall/internal/downstream"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

// A client that reads slowly has its answer as long as it takes some of it now and then and can still want it; one that reads nothing does not hold
// its place.
func TestASlowReaderGetsItsAnswer(t *testing.T) {
	const size = 240_000
	for _, tt := range []struct {
		name   string
		budget string        // ms
		each   int           // bytes that it reads
		every  time.Duration // 0 for one that reads nothing
		whole  bool
		ends   time.Duration // at the latest
	}{
		{"20 KB/s, and it waits for long", "20000", 1000, 50 * time.Millisecond, true, 13 * time.Second},
		{"20 KB/s, and it waits for 2 s", "2000", 1000, 50 * time.Millisecond, false, downstream.Stalled + time.Second},
		{"20 KB/s, and it waits for 7 s", "7000", 1000, 50 * time.Millisecond, false, 7*time.Second + downstream.ReadsLate + time.Second},
		{"nothing, and it waits for long", "20000", 0, 0, false, downstream.Stalled + time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, ended := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, make(chan error)
				s, l := server(h, 4), pipes{accepted: make(chan net.Conn)}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { ended <- s.Serve(ctx, l) }()
				client, server := net.Pipe()
				l.accepted <- server
				c := &standin.Client{Conn: client}
				need.Sent(t, c, "budget", tt.budget)
				(<-h.calls).Serve(body(s, strings.Repeat("x", size)), false)
				began, read, buf := time.Now(), 0, make([]byte, max(1, tt.each))
				for tt.every > 0 {
					n, err := io.ReadFull(client, buf)
					if read += n; err != nil || read >= size {
						break
					}
					time.Sleep(tt.every)
				}
				if tt.every == 0 {
					time.Sleep(tt.ends)
					_, err := client.Read(buf)
					assert.Error(t, err, "its connection is closed")
				}
				assert.Equal(t, tt.whole, read >= size)
				assert.LessOrEqual(t, time.Since(began), tt.ends)
				_ = client.Close()
				cancel()
				close(l.accepted)
				assert.NoError(t, <-ended)
			})
		})
	}
}
