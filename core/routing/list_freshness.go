package routing

import "math"

const (
	// maxListSilence is the time in seconds without a word of the endpoint list's source after which changes may have
	// been told without being heard. The source says something each second.
	maxListSilence = 1.5
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
	heardAt      float64 // seconds; when the source last said something
	pause        float64 // seconds; the longest pause of the source within lateListSpan, 0 for none
	pauseEndedAt float64 // seconds; when the latest pause ended
}

// hear records when the source last said something, in seconds.
func (f *listFreshness) hear(at float64) {
	if pause := at - f.heardAt; f.known && pause > maxListSilence {
		f.pause = math.Max(pause, f.recentPause(at))
		f.pauseEndedAt = at
	}
	f.known, f.heardAt = true, at
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
