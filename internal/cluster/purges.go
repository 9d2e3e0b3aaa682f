package cluster

import (
	"errors"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"elderwall/core/cluster/purgefloor"
	"elderwall/core/cluster/replication"
	"elderwall/internal/clock"
)

const (
	mostHeard = 1 << 16          // purges that were told here: none of them is handed on again
	mostOwed  = 4096             // purges that wait until they can be written
	tidyEach  = 30 * time.Second // between looks for floors that no copy is older than
	tidyAfter = 60 * time.Second // beyond the time after which no copy is left, and twice as long for others' floors
)

// purges has those that the change log tells here remembered by all, and takes those that others tell.
type purges struct {
	memory *memory
	take   func(purgefloor.Floor) // nil where nobody takes them
	gone   float64                // s after which no copy is left that is older

	seen  *lru.LRU[string, sighting] // the tidier's own
	heard *lru.LRU[string, int64]    // under the memory's lock, as are the next two
	owed  map[string]purgefloor.Floor
	all   bool // all floors are to be taken: a machine was opened, or peers' word counts again

	may    bool // peers' word narrows
	tidied time.Time
	at     uint64 // place of the look that is under way; 0 for none
}

// sighting is when a floor was first seen here, with its stamp.
type sighting struct {
	stamp int64
	at    clock.Instant
}

func (p *purges) begin(m *memory) {
	p.memory, p.heard, p.owed, p.tidied = m, must(lru.NewLRU[string, int64](mostHeard, nil)), map[string]purgefloor.Floor{}, time.Now()
	p.seen = must(lru.NewLRU[string, sighting](mostHeard, nil))
	m.follow[purgefloor.KindID] = append(m.follow[purgefloor.KindID], p.changed)
}

// TakePurges has a function take purges that others tell, before the fleet is served. After gone seconds a purge needs no memory.
func (f *Fleet) TakePurges(take func(purgefloor.Floor), gone float64) {
	f.memory.purges.take, f.memory.purges.gone = take, gone
}

// Purged takes a purge that the change log told here: it is written, unless all know it already.
func (f *Fleet) Purged(o purgefloor.Floor) {
	p, m := &f.memory.purges, f.memory
	key, value, ok := purgefloor.EncodeRecord(o)
	if !ok {
		return
	}
	m.mu.Lock()
	news := p.hear(key, o.Time)
	m.mu.Unlock()
	if news {
		f.Tell(PurgesChannel, key, value)
	}
	if stands, ok := m.get(purgefloor.KindID, key); ok && purgefloor.MergeOrder(stands.Value, value) >= 0 {
		return
	}
	if _, err := m.write(purgefloor.KindID, key, value, false, replication.WriteConcern{}); errors.Is(err, replication.ErrCatchingUp) || errors.Is(err, errNoDisk) || errors.Is(err, replication.ErrUnpersisted) || errors.Is(err, errBusy) {
		m.mu.Lock()
		if len(p.owed) < mostOwed {
			p.owed[key] = o
		}
		m.mu.Unlock()
	}
}

// hear tells whether a purge is news here.
func (p *purges) hear(key string, at int64) bool {
	if was, ok := p.heard.Get(key); ok && was >= at {
		return false
	}
	p.heard.Add(key, at)
	return true
}

// past tells whether no copy is left that is older than a purge, and some time more, by how long ago its floor was first seen here. Guards against a
// wall clock that is stepped forward: by the floor's own stamp one that copies are still older than would be let go.
func (p *purges) past(key string, stamp int64, more time.Duration) bool {
	first, ok := p.seen.Get(key)
	if !ok || first.stamp != stamp {
		p.seen.Add(key, sighting{stamp, clock.InstantNow()})
		return false
	}
	return first.at.Since() > clock.Duration(p.gone)+more
}

func (p *purges) opened() {
	p.memory.mu.Lock()
	p.all = true
	p.memory.mu.Unlock()
}

func (p *purges) narrows(may bool) {
	if may && !p.may {
		p.opened()
	}
	p.may = may
}

// changed takes floors that came to stand.
func (p *purges) changed(all []replication.Record) {
	if !p.may || p.take == nil {
		return
	}
	for _, r := range all {
		o, err := purgefloor.ParseRecord(r.Key, r.Value)
		if err != nil || r.Deleted {
			continue
		}
		p.memory.mu.Lock()
		news := p.hear(r.Key, o.Time)
		p.memory.mu.Unlock()
		if news {
			m := p.memory
			m.fleet.Tell(PurgesChannel, r.Key, r.Value)
			p.take(o)
		}
	}
}

// tick writes what is owed, takes what was left, and lets go of what is past.
func (p *purges) tick() {
	m := p.memory
	m.mu.Lock()
	owed, all := p.owed, p.all && p.may
	if len(owed) > 0 {
		p.owed = map[string]purgefloor.Floor{}
	}
	p.all = p.all && !all
	m.mu.Unlock()
	for _, o := range owed {
		m.fleet.Purged(o)
	}
	if all {
		var records []replication.Record
		for at, more := uint64(0), true; more; more = at != 0 {
			records = records[:0]
			at = m.scan(purgefloor.KindID, at, func(r replication.Record) { records = append(records, r) })
			p.changed(records)
		}
	}
	if p.at == 0 && time.Since(p.tidied) < tidyEach || p.take == nil {
		return
	}
	p.tidied = time.Now()
	var past []replication.Record
	p.at = m.scan(purgefloor.KindID, p.at, func(r replication.Record) { // the next part at the next tick
		more := tidyAfter
		if r.Dot.Writer != m.fleet.Name { // whoever wrote it lets go of it first
			more += tidyAfter
		}
		if o, err := purgefloor.ParseRecord(r.Key, r.Value); err == nil && !r.Deleted && p.past(r.Key, o.Time, more) {
			past = append(past, r)
		}
	})
	for _, r := range past {
		_, _ = m.write(purgefloor.KindID, r.Key, r.Value, true, replication.WriteConcern{}) // it comes again at the next look
	}
}
