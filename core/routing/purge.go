package routing

import (
	"cmp"
	"fmt"
	"math"
)

// minMaxAge is the smallest maximum age, in seconds, that a request can carry, because 0 means no limit.
const minMaxAge = 1e-6

// purgeLog remembers purges for as long as copies older than them may exist, and gives the maximum age of a
// copy that a request may be answered with.
type purgeLog struct {
	*environment
	timers   *timers
	purgedAt map[string]float64 // seconds; time of the last purge, by purgeKey
}

// record records a purge of an object, or of a whole group if object is empty. The purge was issued age
// seconds ago.
func (p *purgeLog) record(object string, group int, age float64) {
	key, at := purgeKey(object, group), p.now-age
	p.purgedAt[key] = math.Max(at, cmp.Or(p.purgedAt[key], at))
	p.timers.Add(at+p.PurgeGrace+tickInterval, timerEvent{handle: func(r *Router, _ *request, _ *attempt) {
		r.purges.expire(key, at)
	}})
}

// expire forgets a purge, unless a later one has replaced it.
func (p *purgeLog) expire(key string, at float64) {
	if p.purgedAt[key] <= at {
		delete(p.purgedAt, key)
	}
}

// maxAge returns the maximum age, in seconds, of a copy that a request may be answered with, or 0 if no purge
// limits it.
func (p *purgeLog) maxAge(q *request) float64 {
	if len(p.purgedAt) == 0 {
		return 0
	}
	age := 0.0
	for _, key := range []string{purgeKey(q.Object, q.Group), purgeKey("", q.Group)} {
		if at, purged := p.purgedAt[key]; purged && (age == 0 || p.now-at < age) {
			age = math.Max(minMaxAge, p.now-at)
		}
	}
	return age
}

// purgeKey returns the object's name, or for a group a key that no object can have.
func purgeKey(object string, group int) string {
	if object != "" {
		return object
	}
	return fmt.Sprint(" ", group)
}
