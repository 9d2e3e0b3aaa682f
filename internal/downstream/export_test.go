package downstream

import (
	"net"
	"slices"

	"elderwall/internal/counters"
	"elderwall/internal/memquota"
	"elderwall/internal/thrift"
)

// Times that tests need.
const (
	SpeaksIn = speaksIn
	CloseIn  = closeIn
	WholeIn  = wholeIn

	AcceptAgain = acceptAgain
	FailsAtOnce = failsAtOnce
	ReadsLate   = readsLate
	Stalled     = stalled
)

// Stopping tells whether only what the kernel holds is accepted.
func (s *Server) Stopping() bool { return s.stopping.Load() != 0 }

// Connections is how many there are, also those that wait for their clients to close.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + len(s.leaving)
}

// Terminate ends all connections as the end of the server's context does.
func (s *Server) Terminate() {
	s.mu.Lock()
	all := slices.Clone(s.conns)
	s.mu.Unlock()
	for _, c := range all {
		c.terminate()
	}
}

// RepliesWhereTheEndCrossesARefusal are the replies to one call on a connection that ends after the call was entered and before it is refused.
func RepliesWhereTheEndCrossesARefusal(raw net.Conn, seq int32) (replies []thrift.Reply) {
	s := &Server{Counts: &counters.Counters{}, Room: memquota.New(0)}
	s.Close()
	c := &conn{server: s, net: raw, raw: raw, wake: make(chan struct{}, 1), drained: make(chan struct{}, 1), open: map[int32]*Call{}}
	call := &Call{conn: c, seq: seq}
	_, _ = c.enter(call)
	c.rejectAll()
	call.Refuse(0)
	for _, queued := range c.queue {
		replies = append(replies, queued.Reply)
	}
	return replies
}
