// Command 3 plays GETs of a class that must not run twice through a proxy that asks the dispatcher and sends itself (mode
// routing), while some objects are purged in the moment in which a cache is at work on a GET for them.
package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"elderwall/internal/standin"
	"elderwall/internal/standin/proxy"
	"elderwall/review/stand"
)

const (
	caches     = 4
	work       = 300 * time.Millisecond // that a GET takes at a cache
	purgeAfter = 100 * time.Millisecond // after the cache has begun
	gets       = 60
	purgeEach  = 6 // GETs: of one in so many the object is purged
	apart      = 200 * time.Millisecond
	budget     = "3s"
	shed       = 503
	prefix     = "x-elderwall-"
)

// world is what ran at the caches.
type world struct {
	*stand.Case
	changes *standin.ChangeLog

	mu   sync.Mutex
	seq  int                 // of the newest event
	runs map[string][]string // by the GET's id: the caches that ran it
}

func (w *world) push(event func(seq int) string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	w.changes.Push(event(w.seq))
}

// cache runs what it is sent, and tells the age of its copy: a minute, or none where it was asked for a younger one.
func (w *world) cache(host string, headers map[string]string) proxy.Answer {
	id := headers[prefix+"get"]
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], headers[prefix+"host-name"])
	w.mu.Unlock()
	age, note := "60", "hit"
	if headers[prefix+"max-age-ms"] != "" {
		age, note = "0", "filled"
	}
	w.Say("%s (%s): runs GET %s, forward %s, max-age-ms %q", headers[prefix+"host-name"], host, id, headers[prefix+"forward"], headers[prefix+"max-age-ms"])
	time.Sleep(work)
	w.Say("%s: answers GET %s with 200, age %s", headers[prefix+"host-name"], id, age)
	return proxy.Answer{Status: 200, Headers: map[string]string{"age": age, prefix + "note": note}}
}

// start starts the change log and the dispatcher, and gives the address for proxies. The caches are the proxy's to play: the
// dispatcher connects to none in this mode.
func (w *world) start() (asked string, err error) {
	var entries []string
	for i := range caches {
		entries = append(entries, stand.Entry(fmt.Sprint("cache-", i), standin.Free(), "chica", "SERVING", 0))
	}
	for _, kind := range []string{"parent", "origin"} {
		entries = append(entries, stand.Entry(kind+"-0", standin.Free(), kind, "SERVING", 0))
	}
	if w.changes, err = standin.ListenChangeLog(standin.Free()); err != nil {
		return "", err
	}
	w.push(func(seq int) string { return stand.List(seq, true, entries...) })
	asked = standin.Free()
	operator, err := w.Write("operator.jsonnet", fmt.Sprintf(`{
  proxies: {
    listen: '%s', mode: 'routing', decide: '500ms',
    paths: [{ match: '/pages/(?P<object>[0-9a-f]{16})', service: 'pages', budget: '%s' }],
  },
}`, asked, budget))
	if err != nil {
		return "", err
	}
	_, err = w.Start(stand.Platform{
		Name: "n0", Listen: standin.Free(), Changelog: w.changes.Address, Balancers: 1,
		Classes: []map[string]any{stand.Class("pages", "unsafe", 300_000, 3_000_000)},
		Extra:   map[string]any{"purgeSlack": 1_000_000}, Rules: map[string]any{"drainGrace": 1_000_000},
	}, "ELDERWALL_OPERATOR="+operator)
	return asked, err
}

// get is one GET of a client, by way of the proxy, which comes again where the dispatcher says that it may.
func (w *world) get(p *proxy.Proxy, object string) (status int, sent bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	o := p.Do(ctx, "/pages/"+object, proxy.None)
	w.Say("client: object %s: status %d after %d calls of the dispatcher, sent to %v, error %v", object, o.Status, o.Calls, o.Hosts, o.Err)
	return o.Status, len(o.Hosts) > 0
}

func play(c *stand.Case) (broken bool, err error) {
	w := &world{Case: c, runs: map[string][]string{}}
	asked, err := w.start()
	if err != nil {
		return false, err
	}
	p, err := proxy.Dial(asked, nil)
	if err != nil {
		return false, err
	}
	defer p.Close()
	p.Cache = w.cache
	returned, shedAfterRun := 0, 0
	var all sync.WaitGroup
	for i := range gets {
		object := fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+i)
		all.Go(func() {
			status, sent := w.get(p, object)
			w.mu.Lock()
			defer w.mu.Unlock()
			switch {
			case status == shed && sent: // each cache that is sent to runs the GET and answers 200
				shedAfterRun++
			case status == 200:
				returned++
			}
		})
		if w.Trouble && i%purgeEach == purgeEach-1 {
			time.AfterFunc(purgeAfter, func() {
				w.push(func(seq int) string { return stand.Purge(seq, object) })
				w.Say("change log: object %s is purged", object)
			})
		}
		time.Sleep(apart)
	}
	all.Wait()
	twice := 0
	for id, at := range w.runs {
		if len(at) > 1 {
			twice++
			w.Say("GET %s ran %d times, at %v", id, len(at), at)
		}
	}
	w.Say("GETs %d, returned %d, shed after a cache had answered 200: %d; run more than once %d", gets, returned, shedAfterRun, twice)
	if returned < gets/2 {
		return false, errors.New("fewer than half of the GETs were returned")
	}
	return twice > 0 || shedAfterRun > 0, nil
}

func main() { stand.Run(play) }
