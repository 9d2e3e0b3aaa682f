package upstream

import "time"

// stopIn is for how long a forward waits for the STOP of the one before it, which its host does not take: then that connection is closed, which gives up
// all that is out on it. It is well within what hosts and the network may differ by (50 ms).
const stopIn = 25 * time.Millisecond

// awaitsStop tells whether a forward on a connection must wait until a STOP has gone out; the connection is signalled then. Guards against a second copy
// of a request where none is allowed: the two go out on different connections, each by its own goroutine, and one may be held up.
func (f *Forward) awaitsStop(c *conn) bool {
	if !f.Alone {
		return false
	}
	for p := f.Previous; p != nil; p = p.Previous {
		if !p.stopping.Load() {
			continue
		}
		first := p.waits.Swap(c) != c
		if !p.stopping.Load() { // it went out meanwhile, and nobody may have been signalled
			continue
		}
		if first {
			time.AfterFunc(stopIn, p.cutStop)
		}
		return true
	}
	return false
}

// stopped books that a forward is given up for its host, and lets the next one go.
func (f *Forward) stopped() {
	f.stopping.Store(false)
	if c := f.waits.Swap(nil); c != nil {
		c.signal()
	}
}

// cutStop closes the connection of a forward whose STOP has not gone out. The goroutines of the connection, which the group waits for, tell what was open.
func (f *Forward) cutStop() {
	c := f.conn
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	if !f.stopping.Load() {
		return
	}
	if c.socket != nil {
		_ = c.socket.Close()
	}
	f.stopped()
}
