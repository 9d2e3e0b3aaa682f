package dispatcher

import (
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"elderwall/core/routing"
	"elderwall/core/sharding"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
)

// task is what is to be done, and when it was queued.
type task struct {
	run      func(now float64)
	queuedAt clock.Instant
}

// taskQueue is what is to be done in a shard. Whoever finds the lock free does all of it; nobody waits for
// it, so that a shard that is stalled holds up no connection of clients or hosts.
type taskQueue struct {
	mu            sync.Mutex           // guards events, peerUpdates, tasks and closed
	events        []func(now float64)  // come before all else, also in the middle of what is done
	peerUpdates   []routing.PeerUpdate // by other shards; heard with the next task, within a tick of the timer
	tasks         []task
	closed        bool          // nothing new is taken in
	eventsQueued  atomic.Uint64 // events queued
	eventsHandled atomic.Uint64 // and done
	runningSince  atomic.Int64  // a clock.Instant at which the task in flight was queued, 0 while none is

	// Requests since the last report; both are guarded by the dispatcher's mu.
	slots [sharding.Slots]uint32
	tally sharding.Tally
}

// enqueue queues a task however long the queue is: a task that ends a request must not be lost, and there are
// no more of these than open requests.
func (d *Dispatcher) enqueue(do func(now float64)) { _ = d.queue.add(do, math.MaxInt); d.RunQueued() }

// tryEnqueue queues a task unless the queue is full or closed.
func (d *Dispatcher) tryEnqueue(do func(now float64)) error {
	if err := d.queue.add(do, maxQueuedTasks); err != nil {
		return err
	}
	d.RunQueued()
	return nil
}

// These are the reasons why a task is not queued.
var (
	errQueueFull   = errors.New("queue is full")
	errQueueClosed = errors.New("shard is closed")
)

func (queue *taskQueue) add(do func(now float64), most int) error {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	switch {
	case queue.closed && most < math.MaxInt:
		return errQueueClosed
	case len(queue.tasks) >= most:
		return errQueueFull
	}
	queue.tasks = append(queue.tasks, task{do, clock.InstantNow()})
	return nil
}

// QueueEvent queues an event of the change log, which goes before all tasks; it runs nothing.
func (d *Dispatcher) QueueEvent(e changelog.Event) {
	queue := &d.queue
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.events = append(queue.events, func(now float64) { d.handleEvent(now, e) })
	queue.eventsQueued.Add(1)
}

// QueuePeerUpdate queues what another shard has found out; it runs nothing.
func (d *Dispatcher) QueuePeerUpdate(update routing.PeerUpdate) {
	queue := &d.queue
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.peerUpdates) < maxQueuedTasks {
		queue.peerUpdates = append(queue.peerUpdates, update)
	}
}

// Close closes a shard that has no request open and nothing queued, and reports whether it has: requests that are still
// offered to it are not accepted. Guards against a task that found the lock taken by this look alone, and would be
// left in the queue for good: the timer's own among them, after which nothing would ever be done.
func (d *Dispatcher) Close() bool {
	if !d.mu.TryLock() {
		return false
	}
	queue := &d.queue
	queue.mu.Lock()
	queue.closed = len(d.requests)+len(queue.tasks)+len(queue.events) == 0
	closed := queue.closed
	queue.mu.Unlock()
	d.mu.Unlock()
	d.RunQueued()
	return closed
}

// QueueReport queues a report of what the shard saw since the last one.
func (d *Dispatcher) QueueReport(to chan<- sharding.Report) {
	_ = d.tryEnqueue(func(float64) { // a shard that can't report counts as one that does not respond
		r := sharding.Report{Responded: true, SlotRequests: d.queue.slots, TopItems: d.queue.tally.Take()}
		d.queue.slots = [sharding.Slots]uint32{}
		to <- r
	})
}

// QueueTask queues a task that the dispatcher does not count; tests hold a shard up by it.
func (d *Dispatcher) QueueTask(task func()) { d.enqueue(func(float64) { task() }) }

// RunQueued runs what is in the queue, unless another goroutine does.
func (d *Dispatcher) RunQueued() {
	queue := &d.queue
	for d.mu.TryLock() {
		for t := d.nextTask(); t.run != nil; t = d.nextTask() {
			d.runTask(t)
		}
		queue.runningSince.Store(0)
		d.mu.Unlock()
		if !d.hasQueued() {
			return
		}
	}
}

func (d *Dispatcher) hasQueued() bool {
	queue := &d.queue
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return len(queue.tasks)+len(queue.events) > 0
}

// nextTask handles queued events and takes a task off the queue; the zero task where there is none.
func (d *Dispatcher) nextTask() (t task) {
	queue := &d.queue
	d.handleQueuedEvents(d.Clock.Now())
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if updates := queue.peerUpdates; len(updates) > 0 && len(queue.tasks) > 0 {
		queue.peerUpdates = nil
		return task{func(now float64) {
			for _, update := range updates {
				d.router.HandlePeerUpdate(now, update)
			}
		}, queue.tasks[0].queuedAt}
	}
	if len(queue.tasks) == 0 {
		queue.tasks = nil
		return t
	}
	t, queue.tasks[0] = queue.tasks[0], task{}
	queue.tasks = queue.tasks[1:]
	return t
}

// handleQueuedEvents handles the queued events.
func (d *Dispatcher) handleQueuedEvents(now float64) {
	for d.eventsPending() {
		queue := &d.queue
		queue.mu.Lock()
		events := queue.events
		queue.events = nil
		queue.mu.Unlock()
		for _, handle := range events {
			d.recovering(now, func() { handle(now); d.router.RunRetries(now) })
			queue.eventsHandled.Add(1)
		}
	}
}

// eventsPending reports whether there are events that the router has not handled.
func (d *Dispatcher) eventsPending() bool {
	return d.Shard != nil && d.queue.eventsQueued.Load() != d.queue.eventsHandled.Load()
}

// runTask runs a task.
func (d *Dispatcher) runTask(t task) {
	d.queue.runningSince.Store(int64(t.queuedAt))
	d.recovering(d.Clock.Now(), func() { d.callLocked(t.run) })
}

// Stalled is how long ago the task that runs was queued, 0 while none runs. It counts from the queueing, so
// that a shard that stalls again and again, with a little done between, counts as stalled.
func (d *Dispatcher) Stalled() time.Duration {
	if since := clock.Instant(d.queue.runningSince.Load()); !since.IsZero() {
		return since.Since()
	}
	return 0
}
