package upstream

import "time"

// overtaken tells whether a forward must not go out any more: there is news that might forbid it, or its time is over. Guards against one that
// waited for its connection, or behind another's request, for longer than it may.
func (f *Forward) overtaken(now time.Time) bool {
	return f.Overtaken != nil && f.Overtaken() || !f.Before.IsZero() && !now.Before(f.Before)
}
