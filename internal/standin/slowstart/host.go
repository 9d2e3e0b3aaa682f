package slowstart

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"elderwall/internal/standin"
)

const (
	answerBytes     = "bytes"
	turnOfWork      = 10 * time.Millisecond // after which a host that shares its capacity goes on with another request
	queuePerSlot    = 4                     // requests that wait for each slot; more are rejected
	lateBacklog     = 128
	mostFillers     = 4
	fillerConnectIn = 50 * time.Millisecond
	mostBinds       = 100
	bindAgainIn     = 10 * time.Millisecond
)

// HostOptions is what a host is.
type HostOptions struct {
	ID, Kind string
	Slots    int           // requests that it serves side by side
	Work     time.Duration // that one of the first class takes while it is warm
	Rule     Rule
	Fills    float64 // share of its answers that it says were filled from the source that the request names
	Costs    Costs
}

// Costs is how the work of single requests differs from the mean work of their class, which the rule counts. The zero value
// is requests that all take the mean.
type Costs struct {
	Mean   float64 // of all objects, as a share of the mean work; 0 for 1
	Spread float64 // standard deviation of the logarithm of an object's work
	Shared bool    // a host works on all requests that it has taken in turns, and answers late rather than in order
}

// of returns the work of a request for an object, as a share of the mean work of its class.
func (c Costs) of(object string) float64 {
	mean := cmp.Or(c.Mean, 1)
	if c.Spread == 0 {
		return mean
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(object))
	chance := rand.New(rand.NewPCG(sum.Sum64(), 0))
	return mean * math.Exp(c.Spread*chance.NormFloat64()-c.Spread*c.Spread/2)
}

// Host is a cache of a given capacity. It may be killed and started again under its address.
type Host struct {
	HostOptions
	usualSlots int        // from the beginning
	restarting sync.Mutex // held while it is killed and started, which faults may ask for at the same time

	mu      sync.Mutex // guards what follows
	address string
	names   int       // that the list has had for it before
	holds   time.Time // until when nothing that was sent to it reaches it
	running *standin.Host
	ledger  *Ledger // of its latest start; nil for one that was warm from the beginning
	starts  []*Ledger
	stopped chan struct{} // closed when it is killed
	queue   map[string]chan struct{}
	waiting atomic.Int64
	asked   atomic.Int64
	filled  func(source string, requests float64)
}

// start has it listen; a ledger is nil for a host that is warm.
func (h *Host) start(ledger *Ledger, late time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, err := listen(h.address, late)
	// A process that is being forked holds a copy of a closed listener until it executes its program.
	for tries := 0; errors.Is(err, syscall.EADDRINUSE) && tries < mostBinds; tries++ {
		time.Sleep(bindAgainIn)
		l, err = listen(h.address, late)
	}
	if err != nil {
		return fmt.Errorf("host %s: %w", h.ID, err)
	}
	slots, stopped := make(chan struct{}, h.Slots), make(chan struct{})
	h.ledger, h.stopped, h.queue = ledger, stopped, map[string]chan struct{}{}
	if ledger != nil {
		h.starts = append(h.starts, ledger)
	}
	h.running = standin.Serve(&heldListener{l, h, stopped}, func(a standin.Ask) string { return h.handle(a, ledger, slots, stopped) })
	return nil
}

// Restart starts it with a cold cache, and returns what reaches it from now on. Its connections come up after late.
func (h *Host) Restart(late time.Duration) (*Ledger, error) {
	l := &Ledger{rule: h.Rule, host: h.ID, capacity: h.capacity(), started: time.Now()}
	return l, h.start(l, late)
}

// Kill ends it, as a process that dies: its connections are reset.
func (h *Host) Kill() {
	h.mu.Lock()
	running := h.running
	h.running = nil
	if running != nil {
		close(h.stopped)
	}
	h.mu.Unlock()
	if running != nil {
		running.Close()
	}
}

// Move has it start again at another address.
func (h *Host) Move(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.address = address
}

// Resize has it start again with another number of slots: its capacity is another one from then on.
func (h *Host) Resize(slots int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Slots = slots
}

// weight is what the list says of its capacity where that is told.
func (h *Host) weight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Slots
}

// Rename has it start again under another id, and returns the one that it had.
func (h *Host) Rename() (old string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old = h.name()
	h.names++
	return old
}

// listed returns what the list says of it: its id and its address.
func (h *Host) listed() (id, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.name(), h.address
}

// name is the id that the list has for it now; called under the lock.
func (h *Host) name() string {
	if h.names == 0 {
		return h.ID
	}
	return fmt.Sprint(h.ID, "-", h.names)
}

// Hold keeps what is sent to it on its way for a while; all of that reaches it together then.
func (h *Host) Hold(lasts time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holds = time.Now().Add(lasts)
}

// awaitArrival waits until what was sent reaches it, or it is killed.
func (h *Host) awaitArrival(stopped chan struct{}) {
	h.mu.Lock()
	wait := time.Until(h.holds)
	h.mu.Unlock()
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-stopped:
	}
}

// Reset ends its connections.
func (h *Host) Reset() {
	h.mu.Lock()
	running := h.running
	h.mu.Unlock()
	if running != nil {
		running.Reset()
	}
}

// Ledgers returns what reached each of its starts.
func (h *Host) Ledgers() []*Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Ledger(nil), h.starts...)
}

// latest returns what reaches its latest start; nil for one that was warm from the beginning.
func (h *Host) latest() *Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger
}

// Asked returns how many requests have reached it.
func (h *Host) Asked() int64 { return h.asked.Load() }

// capacity is in requests a second.
func (h *Host) capacity() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.Slots) / (h.Work.Seconds() * meanWork())
}

// classes are the classes that clients ask for, with the work of each as a share of the first one's.
var classes = []class{{"segment", 1, 600 * time.Millisecond}, {"detail", 0.3, 250 * time.Millisecond}}

type class struct {
	name string
	work float64
	aim  time.Duration
}

// meanWork is that of all classes, which are asked for alike.
func meanWork() (mean float64) {
	for _, c := range classes {
		mean += c.work / float64(len(classes))
	}
	return mean
}

// workOf returns the work of a class by its name.
func workOf(name string) float64 {
	for _, c := range classes {
		if c.name == name {
			return c.work
		}
	}
	return 1
}

// handle serves one request as fast as its capacity of the moment allows.
func (h *Host) handle(a standin.Ask, ledger *Ledger, slots chan struct{}, stopped chan struct{}) string {
	if a.Stop {
		h.giveUp(a.ID)
		return ""
	}
	now := time.Now()
	h.asked.Add(1)
	share := workOf(a.Fields["queue"])
	work := time.Duration(float64(h.Work) * share * h.Costs.of(a.Fields["path"]))
	if ledger != nil {
		ledger.arrive(now, share/meanWork())
		work = time.Duration(float64(work) / h.Rule.share(now.Sub(ledger.started)))
	}
	if h.waiting.Add(1) > int64(cap(slots)*(1+queuePerSlot)) {
		h.waiting.Add(-1)
		return standin.Answer(a.ID, "SHED", "-", "")
	}
	defer h.waiting.Add(-1)
	given := h.open(a.ID)
	defer h.giveUp(a.ID)
	if !h.work(work, slots, stopped, given) {
		return ""
	}
	if source := a.Fields["up"]; source != "" && h.filled != nil && fills(a.ID, h.Fills) {
		h.filled(source, share/meanWork())
		return strings.Replace(standin.Hit(a.ID, answerBytes), "detail=mem", "detail=parent", 1)
	}
	return standin.Hit(a.ID, answerBytes)
}

// work works on a request: at once once it has a slot, or in turns with others; false where the request was given up or the host died.
func (h *Host) work(lasts time.Duration, slots, stopped, given chan struct{}) bool {
	turns := 1
	if h.Costs.Shared {
		turns = max(1, int(lasts/turnOfWork))
	}
	for range turns {
		if !h.serve(lasts/time.Duration(turns), slots, stopped, given) {
			return false
		}
	}
	return true
}

// serve takes a slot for so long; false where the request was given up or the host died.
func (h *Host) serve(work time.Duration, slots, stopped, given chan struct{}) bool {
	select {
	case slots <- struct{}{}:
	case <-stopped:
		return false
	case <-given:
		return false
	}
	defer func() { <-slots }()
	select {
	case <-time.After(work):
		return true
	case <-stopped:
	case <-given:
	}
	return false
}

// open books a request, and returns what is closed when it is given up.
func (h *Host) open(id string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	given := make(chan struct{})
	h.queue[id] = given
	return given
}

func (h *Host) giveUp(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if given := h.queue[id]; given != nil {
		close(given)
		delete(h.queue, id)
	}
}

// fills draws whether a request is a miss, by its id.
func fills(id string, share float64) bool {
	sum := uint32(2166136261)
	for _, b := range []byte(id) {
		sum = (sum ^ uint32(b)) * 16777619
	}
	return float64(sum%1000) < 1000*share
}

// listen listens at an address. With late, connections do not come up before that: the line of the listener is full
// until then, so that the kernel drops what asks to connect, and the peer's kernel asks again a second later.
func listen(address string, late time.Duration) (net.Listener, error) {
	if late <= 0 {
		return net.Listen("tcp", address) //nolint:wrapcheck // the caller names the host
	}
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller names the host
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller names the host
	}
	file := os.NewFile(uintptr(fd), address)
	defer func() { _ = file.Close() }()
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}); err != nil {
		return nil, err //nolint:wrapcheck // the caller names the host
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err //nolint:wrapcheck // the caller names the host
	}
	fillers := fillLine(a.String())
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller names the host
	}
	time.AfterFunc(late, func() {
		if raw, err := l.(*net.TCPListener).SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), lateBacklog) })
		}
		for _, c := range fillers {
			_ = c.Close()
		}
	})
	return &lateListener{Listener: l, from: time.Now().Add(late)}, nil
}

// fillLine connects until the listener at an address takes no more.
func fillLine(address string) (all []net.Conn) {
	for range mostFillers {
		c, err := net.DialTimeout("tcp", address, fillerConnectIn)
		if err != nil {
			return all
		}
		all = append(all, c)
	}
	return all
}

// heldListener is a listener whose connections bring nothing while its host holds them.
type heldListener struct {
	net.Listener
	host    *Host
	stopped chan struct{}
}

// Accept waits for a connection.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net.Listener's own error
	}
	return &heldConn{c, l}, nil
}

type heldConn struct {
	net.Conn
	by *heldListener
}

// Read hands out what came once it is not held any more.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.by.host.awaitArrival(c.by.stopped)
	return n, err //nolint:wrapcheck // net.Conn's own error
}

// lateListener accepts nothing before a moment.
type lateListener struct {
	net.Listener
	from time.Time
}

// Accept waits for the moment, then for a connection.
func (l *lateListener) Accept() (net.Conn, error) {
	time.Sleep(time.Until(l.from))
	return l.Listener.Accept() //nolint:wrapcheck // net.Listener's own error
}
