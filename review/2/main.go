// Command 2 moves the change log by a new configuration and SIGHUP, at a dispatcher with an operator's file, and purges an object some
// seconds later; a quarter of the caches begins to drain. Before that, the operator's file is edited, with a unit left off a number.
package main

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"

	"elderwall/internal/standin"
	"elderwall/review/stand"
)

const (
	caches     = 4
	objects    = 32
	drained    = 1                       // the cache that drains: one of four
	each       = 40 * time.Millisecond   // between two GETs
	editAt     = 2 * time.Second         // the operator's file is edited
	moveAt     = 3 * time.Second         // SIGHUP
	oldCloses  = 1500 * time.Millisecond // after SIGHUP, as the page has it
	toldAfter  = 4 * time.Second         // after SIGHUP all that the change log has to tell counts as told
	purgeAfter = 2500 * time.Millisecond // after SIGHUP the purge is made, and the drain begins
	toldAtMost = 7 * time.Second         // after it is in the change log, by the longest reading, the drain counts as told
	grace      = time.Second             // of both rules, by the settings
	slack      = 50 * time.Millisecond   // on sockets every limit is longer by so much
	dropsFrom  = 4 * time.Second         // after the purge the first cache drops its older copies, the others by half a second each later
	endAt      = 16 * time.Second
)

const (
	goodFile   = `{ retries: { share: 0.1, floor: '5/s' } }`
	brokenFile = `{ retries: { share: 0.2, floor: 5 } }`
)

// world is the caches with their copies.
type world struct {
	*stand.Case
	began time.Time

	mu       sync.Mutex
	copies   [caches]map[string]time.Time // of an object: when the origin gave the copy out
	draining string                       // the entry of the cache that drains
	purgedAt time.Time                    // zero before
	toldAt   time.Time                    // from when on it counts as told

	late     int       // requests that came after the grace and were answered from an older copy
	drainsAt time.Time // zero before
	lateNew  int       // requests that came to the cache that drains, after the grace
}

func object(n int) string { return fmt.Sprintf("%016x", 0x7f3a9c21e0b4d600+n) }

// held is a cache's copy, which it drops by itself some seconds after a purge.
func (w *world) held(cache int, name string, now time.Time) (since time.Time, ok bool) {
	since, ok = w.copies[cache][name]
	drops := dropsFrom + time.Duration(cache)*500*time.Millisecond
	if ok && name == object(0) && !w.purgedAt.IsZero() && since.Before(w.purgedAt) && now.Sub(w.purgedAt) > drops {
		delete(w.copies[cache], name)
		return since, false
	}
	return since, ok
}

// cache answers from its copy, if that is young enough, or fills it from the source that is named.
func (w *world) cache(number int) func(standin.Ask) string {
	return func(a standin.Ask) string {
		if a.Stop {
			return ""
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		now, name, detail := time.Now(), a.Fields["path"], "mem"
		w.bookDrain(number, a, now)
		since, ok := w.held(number, name, now)
		most, _ := strconv.Atoi(a.Fields["cap"])
		if ok && most > 0 && now.Sub(since) > time.Duration(most)*time.Millisecond {
			ok = false
		}
		if !ok {
			if a.Fields["up"] == "" {
				return standin.Answer(a.ID, "NONE", "-", "")
			}
			since, detail = now, "origin"
			w.copies[number][name] = since
		}
		w.book(number, a, name, since, now)
		return standin.Answer(a.ID, "HIT", fmt.Sprintf("rev=%016x,since=%d,detail=%s", stand.Stamp(since), stand.Stamp(since), detail), "copy of "+since.Format(time.RFC3339Nano))
	}
}

// book judges an answer for the purged object.
func (w *world) book(number int, a standin.Ask, name string, since, now time.Time) {
	if name != object(0) || w.purgedAt.IsZero() {
		return
	}
	older := since.Before(w.purgedAt)
	breaks := older && now.Sub(w.toldAt) > grace+slack
	if breaks {
		w.late++
	}
	w.Say("cache-%d: request %s for the purged object, %.0f ms after the purge counts as told, cap %q: answered from a copy older than the purge: %v%s",
		number, a.ID, now.Sub(w.toldAt).Seconds()*1e3, a.Fields["cap"], older, map[bool]string{true: " (BREAKS THE RULE)"}[breaks])
}

// bookDrain judges a request to the cache that drains.
func (w *world) bookDrain(number int, a standin.Ask, now time.Time) {
	if number != drained || w.drainsAt.IsZero() {
		return
	}
	since := now.Sub(w.drainsAt)
	breaks := since > toldAtMost+grace+slack
	if breaks {
		w.lateNew++
	}
	w.Say("cache-%d, which drains: gets request %s, %.0f ms after the drain is in the change log%s", number, a.ID, since.Seconds()*1e3,
		map[bool]string{true: " (BREAKS THE RULE)"}[breaks])
}

// clients asks for one object after the other until the end.
func (w *world) clients(at string) (returned, all int, err error) {
	c, err := standin.Dial(at)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Conn.Close() }()
	for ; time.Since(w.began) < endAt; all++ {
		_ = c.Conn.SetDeadline(time.Now().Add(5 * time.Second))
		name := object(all % objects)
		if all%2 == 0 {
			name = object(0)
		}
		if _, err := c.Process(standin.Fields("method", "pages", "rid", fmt.Sprintf("%016x", 1+all), "budget", "3000", "obj", name, "nth", "0", "batch", "17"), ""); err != nil {
			return returned, all, err
		}
		r, err := c.Read()
		if err != nil {
			return returned, all, err
		}
		if r.Kind == "served" {
			returned++
		}
		time.Sleep(each)
	}
	return returned, all, nil
}

// start starts the hosts, which hold copies of all objects that are a minute old.
func (w *world) start() (events []string, err error) {
	for i := range caches {
		w.copies[i] = map[string]time.Time{}
		for n := range objects {
			w.copies[i][object(n)] = time.Now().Add(-time.Minute)
		}
		h, err := standin.Listen(standin.Free(), w.cache(i))
		if err != nil {
			return nil, err
		}
		events = append(events, stand.Entry(fmt.Sprint("cache-", i), h.Address, "chica", "SERVING", 0))
		if i == drained {
			w.draining = stand.Entry(fmt.Sprint("cache-", i), h.Address, "chica", "DRAINING", 0)
		}
	}
	for _, kind := range []string{"parent", "origin"} {
		h, err := standin.Listen(standin.Free(), standin.Hits("bytes"))
		if err != nil {
			return nil, err
		}
		events = append(events, stand.Entry(kind+"-0", h.Address, kind, "SERVING", 0))
	}
	return []string{stand.List(1, true, events...)}, nil
}

// changeLog is a change log with events.
func changeLog(events []string) (*standin.ChangeLog, error) {
	c, err := standin.ListenChangeLog(standin.Free())
	if err == nil {
		for _, e := range events {
			c.Push(e)
		}
	}
	return c, err
}

// move plays what the platform and the operator do.
func (w *world) move(d *stand.Dispatcher, p stand.Platform, before, after *standin.ChangeLog) error {
	time.Sleep(time.Until(w.began.Add(editAt)))
	if w.Trouble {
		w.Say("operator: the file is edited, with a unit left off a number: %s", brokenFile)
		if _, err := w.Write("operator.jsonnet", brokenFile); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(w.began.Add(moveAt)))
	p.Changelog = after.Address
	if _, err := w.Write(p.Name+".json", p.JSON()); err != nil {
		return err
	}
	w.Say("platform: the change log is at %s from now on, no more at %s", after.Address, before.Address)
	moved := time.Now()
	d.Signal(syscall.SIGHUP)
	time.Sleep(oldCloses)
	before.Close()
	time.Sleep(time.Until(moved.Add(purgeAfter)))
	w.mu.Lock()
	w.purgedAt = time.Now()
	w.toldAt = w.purgedAt
	if counts := moved.Add(toldAfter); counts.After(w.toldAt) {
		w.toldAt = counts
	}
	w.mu.Unlock()
	after.Push(stand.Purge(2, object(0)))
	w.Say("change log: object %s is purged", object(0))
	w.mu.Lock()
	w.drainsAt = time.Now()
	w.mu.Unlock()
	after.Push(stand.List(3, false, w.draining))
	w.Say("change log: cache-%d drains", drained)
	return nil
}

func play(c *stand.Case) (broken bool, err error) {
	w := &world{Case: c}
	events, err := w.start()
	if err != nil {
		return false, err
	}
	before, err := changeLog(events)
	if err != nil {
		return false, err
	}
	after, err := changeLog(events)
	if err != nil {
		return false, err
	}
	operator, err := c.Write("operator.jsonnet", goodFile)
	if err != nil {
		return false, err
	}
	p := stand.Platform{
		Name: "n0", Listen: standin.Free(), Changelog: before.Address, Balancers: 1,
		Classes: []map[string]any{stand.Class("pages", "safe", 300_000, 3_000_000)},
		Extra:   map[string]any{"purgeSlack": 1_000_000}, Rules: map[string]any{"drainGrace": 1_000_000},
	}
	d, err := c.Start(p, "ELDERWALL_OPERATOR="+operator)
	if err != nil {
		return false, err
	}
	w.began = time.Now()
	moved := make(chan error, 1)
	go func() { moved <- w.move(d, p, before, after) }()
	returned, all, err := w.clients(d.Listen)
	if err := errors.Join(err, <-moved); err != nil {
		return false, err
	}
	w.Say("questions to the new change log: %d; GETs %d, returned %d; sent after the grace and answered from a copy older than the purge: %d; sent to the cache that drains after the grace: %d",
		len(after.Asked()), all, returned, w.late, w.lateNew)
	if returned < all*9/10 {
		return false, errors.New("fewer than nine tenths of the GETs were returned")
	}
	return w.late > 0 || w.lateNew > 0, nil
}

func main() { stand.Run(play) }
