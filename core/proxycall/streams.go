package proxycall

import "slices"

const (
	// connectionShare is the part, one in so many, of all streams that one connection may have open.
	connectionShare = 2
	// maxUnserved is the number of streams that may have begun without being served, beyond which nothing more is to be read.
	maxUnserved = 32
	// firstMessageTimeout is the time in seconds that the first message of a stream may take before the stream gives way to
	// others.
	firstMessageTimeout = 0.25
)

// Streams bounds the streams that proxies have open. Where there are too many, the one is evicted whose first message has been
// on its way for longest. Guards against proxies that begin streams in numbers and leave them: they keep nobody out. It is not
// safe for concurrent use.
type Streams struct {
	Max int // streams that may be open

	open     int
	unserved int
	waiting  []*Stream // those whose first message has not come, the oldest first
}

// Stream is one stream that has begun. It is waiting until its first message has come, then heard; and ended, or evicted before
// that. It is unserved until something reads it.
type Stream struct {
	began   float64 // seconds
	served  bool
	evicted bool
}

// MaxPerConnection returns how many streams one connection may have open.
func (s *Streams) MaxPerConnection() int { return max(1, s.Max/connectionShare) }

// Begin begins a stream at a time in seconds, nil if there is no place for it. It returns the stream that was evicted for it, nil
// for none.
func (s *Streams) Begin(now float64) (begun, evicted *Stream) {
	if s.open >= s.Max {
		if evicted = s.evict(now); evicted == nil {
			return nil, nil
		}
	}
	begun = &Stream{began: now}
	s.open++
	s.unserved++
	s.waiting = append(s.waiting, begun)
	return begun, evicted
}

// evict takes the place of the stream that has waited for its first message for longest.
func (s *Streams) evict(now float64) *Stream {
	if len(s.waiting) == 0 || now-s.waiting[0].began < firstMessageTimeout {
		return nil
	}
	oldest := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.open--
	oldest.evicted = true
	return oldest
}

// Serve records that a stream is read.
func (s *Streams) Serve(st *Stream) {
	if !st.served {
		st.served = true
		s.unserved--
	}
}

// Hear records that the first message of a stream has come; false if the stream was evicted before.
func (s *Streams) Hear(st *Stream) bool {
	s.stopWaiting(st)
	return !st.evicted
}

// End records that a stream has ended.
func (s *Streams) End(st *Stream) {
	s.stopWaiting(st)
	s.Serve(st)
	if !st.evicted {
		s.open--
	}
}

func (s *Streams) stopWaiting(st *Stream) {
	s.waiting = slices.DeleteFunc(s.waiting, func(o *Stream) bool { return o == st })
}

// Crowded reports whether so many streams have begun that nobody reads yet that nothing more is to be read from connections.
// Guards against proxies that begin streams faster than they are served: what those bring would be kept until then.
func (s *Streams) Crowded() bool { return s.unserved > maxUnserved }
