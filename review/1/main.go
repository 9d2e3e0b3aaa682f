// Command 1 plays GETs of a class that must not run twice through a proxy that asks the dispatcher, which fetches itself
// (mode immediate), while one of eight caches takes GETs and answers none.
package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"elderwall/internal/standin"
	"elderwall/internal/standin/proxy"
	"elderwall/review/stand"
)

const (
	caches   = 8
	hung     = 0                     // the cache that hangs: one of eight, 12.5%
	work     = 60 * time.Millisecond // that a GET takes at a cache
	hangFrom = 4 * time.Second
	hangFor  = 8 * time.Second
	gets     = 240
	apart    = 60 * time.Millisecond // between two GETs
	tries    = 3                     // of a client, each after it heard that trying again is harmless
	budget   = "2.5s"
	shed     = 503
)

// world is the caches, and what ran there.
type world struct {
	*stand.Case
	began time.Time

	mu   sync.Mutex
	runs map[string][]string // by object: the caches that ran it, with the ids
}

// hangs tells whether the bad cache hangs now.
func (w *world) hangs() bool {
	since := time.Since(w.began)
	return w.Trouble && since >= hangFrom && since < hangFrom+hangFor
}

// cache is a cache that has all objects; what it takes it runs.
func (w *world) cache(number int) func(standin.Ask) string {
	return func(a standin.Ask) string {
		if a.Stop {
			w.Say("cache-%d: STOP %s", number, a.ID)
			return ""
		}
		object := a.Fields["path"]
		w.mu.Lock()
		w.runs[object] = append(w.runs[object], fmt.Sprintf("cache-%d under %s", number, a.ID))
		w.mu.Unlock()
		silent := number == hung && w.hangs()
		w.Say("cache-%d: runs %s for object %s, answers: %v", number, a.ID, object, !silent)
		if silent {
			return ""
		}
		time.Sleep(work)
		return standin.Answer(a.ID, "HIT", fmt.Sprintf("rev=%s,since=%d,detail=mem", object, stand.Stamp(time.Now().Add(-time.Minute))), "bytes of "+object)
	}
}

// start starts the caches, the change log and the dispatcher, and gives the address for proxies.
func (w *world) start() (asked string, err error) {
	var entries []string
	for i := range caches {
		h, err := standin.Listen(standin.Free(), w.cache(i))
		if err != nil {
			return "", err
		}
		entries = append(entries, stand.Entry(fmt.Sprint("cache-", i), h.Address, "chica", "SERVING", 0))
	}
	for _, kind := range []string{"parent", "origin"} {
		h, err := standin.Listen(standin.Free(), standin.Hits("bytes"))
		if err != nil {
			return "", err
		}
		entries = append(entries, stand.Entry(kind+"-0", h.Address, kind, "SERVING", 0))
	}
	changes, err := standin.ListenChangeLog(standin.Free())
	if err != nil {
		return "", err
	}
	changes.Push(stand.List(1, true, entries...))
	asked = standin.Free()
	operator, err := w.Write("operator.jsonnet", fmt.Sprintf(`{
  proxies: {
    listen: '%s', mode: 'immediate', decide: '1s',
    paths: [{ match: '/ficha/(?P<object>[0-9a-f]{16})', service: 'ficha', budget: '%s' }],
  },
}`, asked, budget))
	if err != nil {
		return "", err
	}
	_, err = w.Start(stand.Platform{
		Name: "n0", Listen: standin.Free(), Changelog: changes.Address, Balancers: 1,
		Classes: []map[string]any{stand.Class("ficha", "unsafe", 250_000, 2_500_000)},
	}, "ELDERWALL_OPERATOR="+operator)
	return asked, err
}

// tally is how the GETs went.
type tally struct {
	mu                     sync.Mutex
	returned, errors       int
	shedAfterRun, ranTwice int
}

// client asks for an object, and once more after each answer that promises that this is harmless.
func (w *world) client(p *proxy.Proxy, object string, t *tally) {
	for try := 1; try <= tries; try++ {
		before := w.ranSoFar(object)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		o := p.Do(ctx, "/ficha/"+object, proxy.None)
		cancel()
		ran := w.ranSoFar(object)
		w.Say("client: object %s, try %d: status %d, retry-after %q, error %v; ran so far: %v", object, try, o.Status, o.Headers["retry-after"], o.Err, ran)
		t.count(o.Status, len(ran)-len(before))
		if o.Status != shed {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// ranSoFar is the runs for an object.
func (w *world) ranSoFar(object string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs[object])
}

// count books a GET: its answer, and how often caches have run it by then. What a client's further try gets is judged by itself.
func (t *tally) count(status, ran int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case status == shed && ran > 0:
		t.shedAfterRun++
	case status >= 200 && status < 400:
		t.returned++
	case status != shed:
		t.errors++
	}
}

func play(c *stand.Case) (broken bool, err error) {
	w := &world{Case: c, runs: map[string][]string{}, began: time.Now()}
	asked, err := w.start()
	if err != nil {
		return false, err
	}
	p, err := proxy.Dial(asked, nil)
	if err != nil {
		return false, err
	}
	defer p.Close()
	w.began = time.Now()
	t := &tally{}
	var all sync.WaitGroup
	for i := range gets {
		all.Go(func() { w.client(p, fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+i), t) })
		time.Sleep(apart)
	}
	all.Wait()
	for object, runs := range w.runs {
		if len(runs) > 1 {
			t.ranTwice++
			w.Say("object %s ran %d times: %v", object, len(runs), runs)
		}
	}
	w.Say("GETs %d, returned %d, errored %d; answered 503 (trying again is harmless) after a cache had run them %d; run more than once %d",
		gets, t.returned, t.errors, t.shedAfterRun, t.ranTwice)
	if t.returned < gets/2 {
		return false, errors.New("fewer than half of the GETs were returned")
	}
	return t.shedAfterRun > 0, nil // that an object ran twice is what comes of it
}

func main() { stand.Run(play) }
