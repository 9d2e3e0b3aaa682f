package service

import "time"

const (
	rereadEach = 200 * time.Millisecond // until a configuration that can't be read is read again
	rereadMost = 5                      // times: a file that is being written is whole within a second
)

// rereading has a configuration that can't be read read again. Guards against a signal that comes while the file is being
// written: the old configuration would stay for good, as no further signal comes.
type rereading struct {
	due   <-chan time.Time // nil while none is due
	times int
}

// wait has it read once more; false if that was done often enough.
func (r *rereading) wait() bool {
	if r.times++; r.times > rereadMost {
		return false
	}
	r.due = time.After(rereadEach)
	return true
}
