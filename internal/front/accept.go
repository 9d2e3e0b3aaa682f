package front

import (
	"errors"
	"slices"
	"syscall"
)

// lacks tells whether an accept failed for want of something that the end of another connection frees.
func lacks(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM},
		func(e error) bool { return errors.Is(err, e) })
}

// makeRoom ends a connection after an accept that failed for want of descriptors: one that waits for its client to close, else the one that is
// needed least is closed. Guards against idle clients that hold all descriptors: new ones would be kept out for as long as they stay. The accept is
// tried again after a wait, so that each failure ends one at most.
func (s *Server) makeRoom(err error) {
	if !lacks(err) || s.cutShort() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.giveWay() {
		s.Counts.GaveWay.Add(1)
	}
}
