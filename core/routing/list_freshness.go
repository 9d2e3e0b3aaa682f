package routing

import "math"

const (
	// maxListDelay is the delay in seconds of the endpoint list's source above which changes may have been told without
	// being heard.
	maxListDelay = 0.5
	// heartbeatInterval is the time in seconds after which the source says something at the latest.
	heartbeatInterval = 1.0
	// maxListSilence is the time in seconds without a word of the source that shows a longer delay than maxListDelay.
	maxListSilence = heartbeatInterval + maxListDelay
	// delayPerPause is how late changes may be after a pause, as a multiple of it: a change may wait for the end of the
	// pause and then be delayed for as long.
	delayPerPause = 2.0
	// lateListSpan is the time in seconds after a pause for which the list is taken to be late. A delay shows as a
	// pause when it begins, and no more while it lasts.
	lateListSpan = 60.0
)

// listFreshness estimates up to what time all changes of the endpoint list are known. The zero value is a list whose
// changes are all known at once.
type listFreshness struct {
	known        bool    // whether heardAt is known
	unanswered   bool    // the source was asked, and has not said anything yet
	heardAt      float64 // seconds; when the source last said something, or was asked
	pause        float64 // seconds; the longest pause of the source within lateListSpan, 0 for none
	pauseEndedAt float64 // seconds; when the latest pause ended
}

// ask records when the source was first asked, in seconds.
func (f *listFreshness) ask(at float64) { f.known, f.unanswered, f.heardAt = true, true, at }

// hear records when the source last said something, in seconds. It returns the pause that has ended with it if that shows
// that changes may be late, and 0 otherwise.
func (f *listFreshness) hear(at float64) (pause float64) {
	if f.known && at > f.heardAt {
		pause = f.endPause(at)
	}
	f.known, f.heardAt = true, at
	return pause
}

// endPause records that the source has said something at a time in seconds. It answers at once when it is asked.
func (f *listFreshness) endPause(at float64) (pause float64) {
	limit := maxListSilence
	if f.unanswered {
		limit = maxListDelay
	}
	f.unanswered = false
	if pause = at - f.heardAt; pause <= limit {
		return 0
	}
	f.pause = math.Max(pause, f.recentPause(at))
	f.pauseEndedAt = at
	return pause
}

// recentPause returns the longest pause that still counts, in seconds.
func (f *listFreshness) recentPause(now float64) float64 {
	if now-f.pauseEndedAt > lateListSpan {
		return 0
	}
	return f.pause
}

// silent reports whether the source pauses now.
func (f *listFreshness) silent(now float64) bool { return f.known && now-f.heardAt > maxListSilence }

// knownUntil returns the time in seconds up to which all changes are known.
func (f *listFreshness) knownUntil(now float64) float64 {
	pause := f.recentPause(now)
	if !f.known || pause == 0 && !f.silent(now) {
		return now
	}
	return f.heardAt - delayPerPause*pause
}
