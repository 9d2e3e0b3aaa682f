package upstream

import "time"

// overtaken tells whether a forward must not go out any more: there is news that might forbid it, its client's time is over, or hosts may not know a
// repeat any more. Guards against one that waited for its connection, or behind another's request, for longer than it may.
func (f *Forward) overtaken(now time.Time) bool {
	return f.Overtaken != nil && f.Overtaken() || over(f.Until, now) || over(f.Before, now)
}

// over tells whether a moment has come; the zero time never does.
func over(moment, now time.Time) bool { return !moment.IsZero() && !now.Before(moment) }
