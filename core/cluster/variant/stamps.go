package variant

const (
	maxStampRequests = 16   // requests that are remembered; a fact that was in transit for longer can split classes, but not join them
	reconfirmAge     = 0.25 // share of EvidenceTTL by which evidence must be newer than the old for peers to be sent it again

	// StampInterval is the time between a dispatcher's requests for a stamp, in seconds. The age of a fact is
	// overestimated by at most two intervals, and 1,000 dispatchers send 200 requests per second.
	StampInterval = 5.0
)

// Stamp is a logical timestamp from an issuer, without a clock. Of two stamps of one issuer, the higher was issued
// later.
type Stamp struct {
	Issuer uint64 // names one process from its start to its end; 0 for no stamp
	Number uint64
}

// StampIssuer issues stamps. Any dispatcher may be an issuer, several of them at the same time: stamps of
// different issuers are never compared. It is not safe for concurrent use.
type StampIssuer struct{ last Stamp }

// NewStampIssuer returns an issuer. The id must never have been used by another one, so it must not be read from a
// disk.
func NewStampIssuer(id uint64) *StampIssuer { return &StampIssuer{Stamp{Issuer: max(1, id)}} }

// Next issues the stamp for one request.
func (i *StampIssuer) Next() Stamp {
	i.last.Number++
	return i.last
}

// stampRequest is an answered request for a stamp, with times in seconds on this dispatcher's own clock.
type stampRequest struct {
	sentAt, receivedAt float64
	stamp              Stamp
}

// stampRequests is a ring of the newest requests.
type stampRequests struct {
	recent [maxStampRequests]stampRequest
	next   int
}

// RecordStamp records the answer to a request for a stamp that was sent and answered at these times of this
// dispatcher, in seconds. Without any stamp, facts about answers that name no version can split classes, but not
// join them.
func (m *Module) RecordStamp(sentAt, receivedAt float64, stamp Stamp) {
	if stamp.Issuer == 0 || !(sentAt <= receivedAt) {
		return
	}
	m.tick(sentAt)
	m.stampRequests.recent[m.stampRequests.next%maxStampRequests] = stampRequest{sentAt, receivedAt, stamp}
	m.stampRequests.next++
}

// newestAt returns the newest stamp that was known when a forward began. The answer was made after that stamp was
// issued, however long the process paused before it read the answer.
func (r *stampRequests) newestAt(sentAt float64) Stamp {
	var newest stampRequest
	for _, x := range r.recent {
		if x.stamp.Issuer != 0 && x.receivedAt <= sentAt && (newest.stamp.Issuer == 0 || x.receivedAt >= newest.receivedAt) {
			newest = x
		}
	}
	return newest.stamp
}

// notBefore returns the latest known tick of this dispatcher before which an answer with this stamp cannot have
// been made, and whether such a tick is known. It is the time of the newest own request for which the same issuer
// returned a lower number: that number was issued after the request was sent, and the answer was made later still.
func (m *Module) notBefore(stamp Stamp) (tick uint32, known bool) {
	at := m.tickZero
	for _, x := range m.stampRequests.recent {
		if stamp.Issuer != 0 && x.stamp.Issuer == stamp.Issuer && x.stamp.Number < stamp.Number && x.sentAt >= at {
			at, known = x.sentAt, true
		}
	}
	return m.tick(at), known
}

// needsReconfirmation reports whether an answer that names no version makes a class's evidence so much newer that
// peers should be sent it.
func (m *Module) needsReconfirmation(v *Service, i, c int, host uint32, t uint32) bool {
	muchNewer := func(by *witness) bool {
		return t >= by.seenAt && float64(t-by.seenAt) >= reconfirmAge*v.EvidenceTTL*ticksPerSecond
	}
	d := &m.classes[i*m.stride+c]
	oldest := &d.firstWitness
	for n := range int(d.witnessCount) {
		by := m.witnessAt(i, c, n)
		if by.host == host {
			return muchNewer(by)
		}
		if by.seenAt < oldest.seenAt {
			oldest = by
		}
	}
	return int(d.witnessCount) < v.Witnesses || muchNewer(oldest)
}
