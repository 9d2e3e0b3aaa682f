// Package memquota bounds the memory that long calls and the bodies of requests and answers take.
package memquota

import "sync/atomic"

// Room is the bytes that are left for bodies.
type Room struct{ left atomic.Int64 }

// New is room for so many bytes.
func New(n int64) *Room {
	r := &Room{}
	r.left.Store(n)
	return r
}

// Take takes room for a body; false means that there is not enough.
func (r *Room) Take(n int) bool {
	if r.left.Add(-int64(n)) >= 0 {
		return true
	}
	r.Give(n)
	return false
}

// Give gives a body's room back.
func (r *Room) Give(n int) { r.left.Add(int64(n)) }

// Left is what may still be taken.
func (r *Room) Left() int64 { return r.left.Load() }
