package cluster

import (
	"bytes"
	"time"

	"elderwall/core/cluster/channel"
)

// Channels that the fleet writes to by itself.
const (
	PurgesChannel   = "purges"   // the newest purge of each object or group
	VariantsChannel = "variants" // splits and joins of variants, by object
)

// builtIn is their first declaration, where channels are kept; the operator may put a higher generation over it.
var builtIn = []channel.Declaration{
	{Name: PurgesChannel, Generation: 1, Order: channel.Latest, AllowGaps: true, RetainedEntries: 20_000, RetainedBytes: 8 << 20, RetainedSeconds: 3600, WriterExpiry: 86400},
	{Name: VariantsChannel, Generation: 1, Order: channel.ByKey, AllowGaps: true, RetainedEntries: 10_000, RetainedBytes: 8 << 20, RetainedSeconds: 3600, OrderWait: 2, WriterExpiry: 86400},
}

const (
	mostTelling = 4096                   // notices that wait
	turnToTell  = 300 * time.Millisecond // between the voters: who comes first by name tells, the others where it did not
	tellTries   = 40
)

// telling is a notice that this dispatcher tells in its turn.
type telling struct {
	channel, key string
	body         []byte
	due          time.Time
	tries        int
}

// Tell has a notice told in a channel that the fleet itself writes to. All dispatchers may tell the same: the voters take turns, and who finds
// that the newest entry of the key says so already leaves it. So a notice comes once, and seldom twice. It may not wait.
func (f *Fleet) Tell(name, key string, body []byte) {
	if f.following == nil || f.voter == nil || len(key) > channel.MaxKeyBytes || len(body) > channel.MaxBodyBytes {
		return
	}
	w, due := f.following, time.Now().Add(time.Duration(f.rank())*turnToTell)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.tells) < mostTelling {
		w.tells = append(w.tells, telling{name, key, body, due, 0})
	}
}

// tellDue tells what is due. Called under the lock. The number follows the last that is known of this writer: a dispatcher whose disk was lost
// may find it taken by what it wrote before, and takes the next one then.
func (w *following) tellDue(now time.Time) {
	kept := w.tells[:0]
	for _, t := range w.tells {
		if now.Before(t.due) {
			kept = append(kept, t)
			continue
		}
		newest, clock := w.machine.Newest(t.channel, t.key)
		if newest != nil && bytes.Equal(newest.Body, t.body) {
			continue
		}
		e := channel.Entry{Channel: t.channel, Key: t.key, Writer: w.fleet.Name, Number: w.machine.HighestNumber(t.channel, w.fleet.Name) + 1, Clock: clock + 1, Body: t.body}
		if _, err := w.machine.Write(w.fleet.dutyNow(), e); err != nil {
			if t.tries++; t.tries < tellTries {
				t.due = now.Add(turnToTell)
				kept = append(kept, t)
			}
		}
	}
	clear(w.tells[len(kept):])
	w.tells = kept
}
