package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/standin"
	"elderwall/internal/standin/rig"
)

// A forward waits for a connection that comes up late, and news comes before that: what forbids it has it decided anew.
func TestNewsBeforeTheFirstByte(t *testing.T) {
	const object = "7f3a9c21e0b4d655"
	list := func(told ...changelog.Host) changelog.Event {
		return changelog.Event{Fleet: &changelog.Fleet{Hosts: told}}
	}
	state := func(h *host, state string) changelog.Event {
		told := h.told
		told.State = state
		return list(told)
	}
	moved := func(h *host) changelog.Event {
		told := h.told
		told.Address = "127.0.0.1:1"
		return list(told)
	}
	purge := func(object string) changelog.Event {
		return changelog.Event{Purge: &changelog.Purge{Object: object, Time: time.Now().UnixMilli()}}
	}
	whole := func(all []changelog.Host, but *host) changelog.Event {
		rest := slices.DeleteFunc(slices.Clone(all), func(h changelog.Host) bool { return h.ID == but.name })
		return changelog.Event{Fleet: &changelog.Fleet{Reset: true, Hosts: rest}}
	}
	to, from := func(f *forward) string { return f.to.address }, func(f *forward) string { return f.from.name }
	for name, tt := range map[string]struct {
		news   func(f *forward, all []changelog.Host) changelog.Event
		never  func(f *forward) string // where it must not go to, or be filled from; nil for anywhere
		purged bool
	}{
		"its source drains":         {func(f *forward, _ []changelog.Host) changelog.Event { return state(f.from, "DRAINING") }, from, false},
		"its source is gone":        {func(f *forward, _ []changelog.Host) changelog.Event { return state(f.from, "DELETED") }, from, false},
		"a whole list lacks it":     {func(f *forward, all []changelog.Host) changelog.Event { return whole(all, f.from) }, from, false},
		"its host drains":           {func(f *forward, _ []changelog.Host) changelog.Event { return state(f.to, "DRAINING") }, to, false},
		"its host is gone":          {func(f *forward, _ []changelog.Host) changelog.Event { return state(f.to, "DELETED") }, to, false},
		"its host moves":            {func(f *forward, _ []changelog.Host) changelog.Event { return moved(f.to) }, to, false},
		"its object is purged":      {func(*forward, []changelog.Host) changelog.Event { return purge(object) }, nil, true},
		"its group is purged":       {func(*forward, []changelog.Host) changelog.Event { return purge("") }, nil, true},
		"another object is purged":  {func(*forward, []changelog.Host) changelog.Event { return purge("other") }, nil, false},
		"its host is told of again": {func(f *forward, _ []changelog.Host) changelog.Event { return list(f.to.told) }, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			group, ctx := errgroup.WithContext(ctx)
			o, up := rig.Options(ctx, group), make(chan bool)
			o.Dialer.Timeout = time.Minute
			o.Dialer.Control = func(string, string, syscall.RawConn) error { <-up; return nil }
			n := New(Config{Settings: rig.Settings(100), Clock: clock.New(), Options: o, Connections: 100})
			var mu sync.Mutex
			var asked []standin.Ask
			var all []changelog.Host
			for i := range 4 {
				h, err := standin.Listen("127.0.0.1:0", func(a standin.Ask) string {
					mu.Lock()
					defer mu.Unlock()
					asked = append(asked, a)
					return standin.Hit(a.ID, "bytes")
				})
				require.NoError(t, err)
				t.Cleanup(h.Close)
				all = append(all, rig.Entry(fmt.Sprint("s-", i), h.Address, "SERVING"))
				all[i].Kind = map[bool]string{true: "std", false: "parent"}[i < 2]
			}
			n.Take(changelog.Event{Fleet: &changelog.Fleet{Reset: true, Hosts: all}})
			c := &client{room: o.Room, got: make(chan string, 1)}
			n.Process(c, call.GET{Service: "segment", ID: "9b1f03aa5c7e2d41", Object: object, PartText: "0", Budget: 20})
			n.mu.Lock()
			f := n.byID["9b1f03aa5c7e2d41"].forwards[0]
			n.mu.Unlock()
			n.Take(tt.news(f, all))
			close(up)
			assert.Equal(t, "served bytes", <-c.got)
			cancel()
			require.NoError(t, group.Wait())
			require.Len(t, asked, 1, "what was taken back never went out")
			if tt.never != nil {
				assert.NotContains(t, []string{asked[0].Fields["up"], asked[0].Conn.LocalAddr().String()}, tt.never(f))
			}
			assert.Equal(t, tt.purged, asked[0].Fields["cap"] != "")
			assert.EqualValues(t, map[bool]int{true: 1}[tt.never != nil || tt.purged], o.Counts.Recalled.Load())
		})
	}
}
