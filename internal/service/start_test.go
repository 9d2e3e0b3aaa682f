package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

const (
	together = 8
	readyIn  = 5 * time.Second // from the start, or from the change log's return: within what a restart is given
)

// inPieces is a change log that writes a list to each watch in pieces, with a pause before each, and then says nothing but comments.
func inPieces(t *testing.T, address, list string, piece int, pause time.Duration) {
	l := need.Of(net.Listen("tcp", address))(t)
	ended := make(chan bool)
	var all sync.WaitGroup
	t.Cleanup(all.Wait)
	t.Cleanup(func() { close(ended); _ = l.Close() })
	watch := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		text := "HTTP/1.1 200 OK\r\n\r\n\ufeff: here\r\rid: 1\rdata: " + list + "\r\r"
		for len(text) > 0 {
			n := min(piece, len(text))
			if _, err := io.WriteString(c, text[:n]); err != nil {
				return
			}
			text = text[n:]
			time.Sleep(pause)
		}
		for {
			select {
			case <-time.After(time.Second):
			case <-ended:
				return
			}
			if _, err := io.WriteString(c, ": here\r\r"); err != nil {
				return
			}
		}
	}
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() { watch(c) })
		}
	})
}

// Dispatchers that start together are all ready soon: once the first list is here, or at once with the one that they know.
func TestAllThatStartTogetherAreReady(t *testing.T) {
	entries := []string{source}
	for i := range 200 {
		entries = append(entries, fmt.Sprintf("s-%d 127.0.0.1:%d std SERVING", 10+i, 1+i))
	}
	list := standin.List(1, true, entries...)
	whole := func(t *testing.T, address string) { inPieces(t, address, list, len(list)+100, 0) }
	for _, tt := range []struct {
		name, known string
		before      time.Duration // until the change log is there
		changes     func(t *testing.T, address string)
	}{
		{"change log up", "", 0, whole},
		{"change log down at first", "", 2 * time.Second, whole},
		{"change log down, with a list that is known", list, readyIn + time.Second, nil},
		{"list in pieces", "", 0, func(t *testing.T, address string) { inPieces(t, address, list, len(list)/200, 5*time.Millisecond) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			changes := standin.Free()
			if tt.before == 0 {
				tt.changes(t, changes)
			}
			var addresses []string
			var all []chan os.Signal
			var ends []chan error
			for range together {
				c := need.Of(read(t, standin.Config(standin.Free(), changes, tt.known, 100)))(t)
				addresses = append(addresses, c.Listen)
				signals, ended := make(chan os.Signal, 1), make(chan error, 1)
				go func() { ended <- Run(c, nil, zerolog.Nop(), signals, nil) }()
				all, ends = append(all, signals), append(ends, ended)
			}
			t.Cleanup(func() {
				for _, signals := range all {
					signals <- syscall.SIGTERM
				}
				for _, ended := range ends {
					assert.NoError(t, <-ended)
				}
			})
			start := time.Now()
			if tt.before > 0 && tt.changes != nil {
				time.Sleep(tt.before)
				for _, address := range addresses {
					require.False(t, need.Ready(address), "with no list it takes nothing")
				}
				tt.changes(t, changes)
				start = time.Now()
			}
			for _, address := range addresses {
				require.Eventually(t, func() bool { return need.Ready(address) }, readyIn-time.Since(start), 10*time.Millisecond)
			}
		})
	}
}
