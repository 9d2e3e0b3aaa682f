package routing

import "math"

const (
	minPeakSpan = 4.0 // seconds for which a host must have been listed before its peak rate counts
	// minPeakRequests is the number of requests in a window from which the peak rate of a host shows its capacity
	// rather than chance.
	minPeakRequests = 10.0
	// maxRememberedPeaks is the number of hosts that are not listed any more and whose peak rates are kept.
	maxRememberedPeaks = 1 << 12
)

// warmRates estimates, where weights are unknown, the rate at which a host in slow start will return work to this
// router once it is warm. All rates are in seconds of work per second.
//
// An estimate must not exceed what the host bears, and this holds for the sum of all routers: a rate is what this
// router was returned over a full window, so that the rates of all routers together never exceed the capacity of the
// host that returned it. Only hosts of the same kind are compared, as other kinds may be larger. A host is taken for
// no larger than what it returned itself before its restart, or else than the least productive host of its kind.
type warmRates struct {
	byKind     []kindRate         // by the kind of host
	remembered map[uint32]float64 // peak rates of hosts that were listed before, by ID
	works      []float64          // seconds; work of one request of each service
	costliest  float64            // seconds; the most of works
	measured   int                // number of services whose work has been measured
}

// kindRate is what the warm hosts of one kind return.
type kindRate struct {
	mean   float64 // mean of all of them now; 0 if none is warm
	hosts  int     // number of hosts that the mean is of
	last   float64 // last mean other than 0
	lowest float64 // lowest peak rate of those whose peak shows their capacity; +Inf if there are none
}

// update measures what the warm hosts of each kind return. works is the work of one request of each service in seconds,
// of which a number has been measured and the rest is assumed. What was kept in terms of an assumption is discarded
// once there is a measurement, which may be a fraction of it.
func (w *warmRates) update(now float64, works []float64, measured int, hosts ...[]*host) {
	w.works, w.costliest = works, 0
	for _, work := range works {
		w.costliest = math.Max(w.costliest, work)
	}
	if measured != w.measured {
		w.measured, w.remembered = measured, nil
		w.discardPeaks(hosts...)
	}
	for i := range w.byKind {
		w.byKind[i].mean, w.byKind[i].hosts, w.byKind[i].lowest = 0, 0, math.Inf(1)
	}
	for _, listed := range hosts {
		for _, h := range listed {
			if h.Phase == Ready && !h.warmUp.active && !h.health.ejected {
				w.add(h, now)
			}
		}
	}
	for i := range w.byKind {
		if kind := &w.byKind[i]; kind.mean != 0 {
			kind.last = kind.mean
		}
	}
}

// add adds what a warm host returns to the rate of its kind.
func (w *warmRates) add(h *host, now float64) {
	returned, kind := h.returned.work(now, w.works), w.kind(h.Kind)
	kind.hosts++
	kind.mean += (returned/windowSpan - kind.mean) / float64(kind.hosts)
	listedFor := now - h.listedSince
	if listedFor < minPeakSpan {
		return
	}
	h.peakRate = math.Max(h.peakRate, returned/math.Min(listedFor, windowSpan))
	if h.peakRate*windowSpan >= minPeakRequests*w.costliest {
		kind.lowest = math.Min(kind.lowest, h.peakRate)
	}
}

// discardPeaks discards the peak rates of hosts, and the last rates of all kinds.
func (w *warmRates) discardPeaks(hosts ...[]*host) {
	for i := range w.byKind {
		w.byKind[i].last = 0
	}
	for _, listed := range hosts {
		for _, h := range listed {
			h.peakRate = 0
		}
	}
}

// kind returns the rate of a kind of hosts, and makes one if there is none yet.
func (w *warmRates) kind(number int) *kindRate {
	for len(w.byKind) <= number {
		w.byKind = append(w.byKind, kindRate{lowest: math.Inf(1)})
	}
	return &w.byKind[max(0, number)]
}

// estimate returns the estimated warm rate of a host and what it is from, or 0 if nothing is known about hosts of its kind.
func (w *warmRates) estimate(h *host, mayUseLast bool) (rate float64, basis RateBasis) {
	kind := w.kind(h.Kind)
	rate, basis = kind.mean, MeanRate
	if rate == 0 && mayUseLast {
		rate, basis = kind.last, LastMeanRate
	}
	most, from := kind.lowest, LowestPeak
	if h.peakRate > 0 {
		most, from = h.peakRate, OwnPeakRate
	}
	switch {
	case rate == 0:
		return 0, NoRate
	case most < rate:
		return most, from
	}
	return rate, basis
}

// remember keeps the peak rate of a host that is forgotten. A machine keeps its ID when its process restarts.
func (w *warmRates) remember(h *host) {
	if h.peakRate == 0 {
		return
	}
	if w.remembered == nil || len(w.remembered) >= maxRememberedPeaks {
		w.remembered = map[uint32]float64{}
	}
	w.remembered[h.ID] = h.peakRate
}

// recall gives a host that is listed again its peak rate.
func (w *warmRates) recall(h *host) {
	h.peakRate = w.remembered[h.ID]
	delete(w.remembered, h.ID)
}
