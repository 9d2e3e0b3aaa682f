package routing

import (
	"cmp"
	"fmt"
	"math"
)

// minMaxAge is the least maximal age in seconds that can be asked for, as 0 would mean any.
const minMaxAge = 1e-6

// purgeLog remembers purges for as long as older copies may exist, and tells the oldest copy that will do.
type purgeLog struct {
	*environment
	timers *timers
	purged map[string]float64 // s; when, by purgeKey
}

// record takes in a purge of an object, or of a whole group where object is empty, that is age seconds old.
func (p *purgeLog) record(object string, group int, age float64) {
	key, at := purgeKey(object, group), p.now-age
	p.purged[key] = math.Max(at, cmp.Or(p.purged[key], at))
	p.timers.Add(at+p.PurgeGrace+tickInterval, timerEvent{handle: func(r *Router, _ *request, _ *attempt) {
		r.purges.expire(key, at)
	}})
}

// expire forgets a purge, unless there was a later one.
func (p *purgeLog) expire(key string, at float64) {
	if p.purged[key] <= at {
		delete(p.purged, key)
	}
}

// maxAge is the age in seconds of the oldest copy that will do for a request; 0 for any fresh one.
func (p *purgeLog) maxAge(q *request) float64 {
	if len(p.purged) == 0 {
		return 0
	}
	age := 0.0
	for _, key := range []string{purgeKey(q.Object, q.Group), purgeKey("", q.Group)} {
		if at, purged := p.purged[key]; purged && (age == 0 || p.now-at < age) {
			age = math.Max(minMaxAge, p.now-at)
		}
	}
	return age
}

// purgeKey is the object, or a name for the group that no object can have.
func purgeKey(object string, group int) string {
	if object != "" {
		return object
	}
	return fmt.Sprint(" ", group)
}
