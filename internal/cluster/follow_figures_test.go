package cluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/channel"
	"elderwall/internal/chart"
)

// TestChannelFigures measures messages a second and lateness by order and readers, through a kill; it prints a table and draws a chart.
// ELDERWALL_CHANNELS has the processes, the seconds of each run, the numbers of readers, and the orders if not all: "30 2 10,1000 key,total".
func TestChannelFigures(t *testing.T) {
	var n, seconds int
	var list, some string
	if _, err := fmt.Sscan(os.Getenv("ELDERWALL_CHANNELS"), &n, &seconds, &list, &some); list == "" {
		t.Skip("ELDERWALL_CHANNELS says how much: ", err)
	}
	c := newChannelRig(t, n, min(n, 5))
	orders := append([]string{"news"}, orderNames...)
	if some != "" {
		orders = strings.Split(some, ",")
	}
	var series []chart.Series
	fmt.Println("| order | readers | acknowledged/s | shown/s, all readers | late p50 ms | p99 ms | p99 ms, through a kill |\n| --- | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, order := range orders {
		name := order
		if order != "news" {
			name = "all_" + order
		}
		s := chart.Series{Name: map[bool]string{true: "latest", false: order}[order == "news"]}
		for _, text := range strings.Split(list, ",") {
			readers, err := strconv.Atoi(text)
			require.NoError(t, err)
			f := c.measure(name, readers, time.Duration(seconds)*time.Second)
			fmt.Printf("| %s | %d | %.0f | %.0f | %.0f | %.0f | %.0f |\n", s.Name, readers, f.acked, f.shown, atShare(f.calm, 0.5), atShare(f.calm, 0.99), atShare(f.killed, 0.99))
			s.X, s.Y = append(s.X, float64(readers)), append(s.Y, atShare(f.calm, 0.99))
		}
		series = append(series, s)
	}
	path := filepath.Join("../../docs/figures", fmt.Sprintf("channels-%d.svg", n))
	require.NoError(t, chart.Lines(path, fmt.Sprintf("Lateness of notices, %d processes", n), chart.Axis{Name: "readers", Log: true}, chart.Axis{Name: "p99, ms"}, series))
}

func atShare(all []float64, share float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(share*float64(len(all))))]
}

// channelFigures is what a run of a channel measures.
type channelFigures struct {
	acked, shown float64   // messages a second, before the kill
	calm, killed []float64 // ms; from writing to showing, before the kill and after it
}

// measure has four writers write as fast as they are acknowledged, 8 messages at a time; in the middle one process is killed and comes back.
func (c *channelRig) measure(name string, readers int, span time.Duration) channelFigures {
	ctx, end := context.WithCancel(c.live)
	defer end()
	var f channelFigures
	var mu sync.Mutex // guards f
	var count, opened, shownAll atomic.Int64
	var dead atomic.Int64 // when
	var wait sync.WaitGroup
	run := fmt.Sprint(time.Now().UnixNano())
	last := len(c.Processes) - 1
	for i := range readers {
		wait.Go(func() {
			var had atomic.Bool
			_, _ = c.at(i%len(c.Processes), (i+1)%len(c.Processes)).Follow(ctx, name, 0, "", func(n channel.Notification) error {
				if n.Entry == nil || !strings.HasPrefix(string(n.Entry.Body), run) {
					return nil
				}
				if had.CompareAndSwap(false, true) {
					opened.Add(1)
				}
				at, _ := strconv.ParseInt(string(n.Entry.Body[len(run)+1:]), 10, 64)
				if at == 0 {
					return nil
				}
				late := float64(time.Now().UnixNano()-at) / 1e6
				shownAll.Add(1)
				mu.Lock()
				defer mu.Unlock()
				if d := dead.Load(); d == 0 {
					f.calm = append(f.calm, late)
				} else {
					f.killed = append(f.killed, late)
				}
				return nil
			})
		})
	}
	first := c.at(0).Writer(name, "w"+run)
	n := 0
	c.Until(2*soon, "all readers are there", func() error {
		n++
		if err := first(ctx, fmt.Sprint("k", n%8), run+" 0"); err != nil {
			return err
		}
		if got := opened.Load(); got < int64(readers) {
			return fmt.Errorf("%d", got)
		}
		return nil
	})
	start := time.Now()
	for i := range 4 {
		wait.Go(func() {
			p := c.at(i%last, (i+1)%last).Writer(name, fmt.Sprint("w", i, run))
			for k := 0; time.Since(start) < span; k++ {
				var bodies []string
				for range 8 {
					bodies = append(bodies, fmt.Sprint(run, " ", time.Now().UnixNano()))
				}
				if p(ctx, fmt.Sprint("k", k%8), bodies...) == nil && dead.Load() == 0 {
					count.Add(8)
				}
			}
		})
	}
	time.Sleep(span / 2)
	elapsed := time.Since(start).Seconds()
	acked, shown := float64(count.Load())/elapsed, float64(shownAll.Load())/elapsed
	dead.Store(time.Now().UnixNano())
	c.Processes[last].Kill()
	time.Sleep(time.Until(start.Add(span)))
	end()
	wait.Wait()
	c.Processes[last].Start()
	c.whole()
	f.acked, f.shown = acked, shown
	return f
}
