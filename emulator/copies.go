package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"elderwall/core/routing/rendezvous"
)

// CopiesScenario is the other way to keep a fleet's memory: each record at the first k dispatchers of its order, read by a question from
// wherever it isn't. It is a simple simulation of placement, questions and failures, with no machine and no repair under way. Times are in seconds.
type CopiesScenario struct {
	Seed     uint64
	Members  int
	Copies   int
	Records  int
	Bytes    int     // of a record in a message
	Question int     // bytes of a question, and what surrounds an answer
	Writes   float64 // a second, all together
	Reads    float64 // a second and dispatcher: GETs that need a record
	Delay    float64 // of a message in the mean
	Patience float64 // until the next holder is asked
	Dead     float64 // share of the dispatchers that ended a moment ago: nobody knows yet
	Cut      float64 // share of the dispatchers on this side of a cut
	Samples  int
}

// CopiesResult is what came of it.
type CopiesResult struct {
	Bytes   float64 `json:"Bytes"`   // sent by a dispatcher a second: writes, questions and answers
	Memory  float64 `json:"Memory"`  // of records at a dispatcher, in the mean
	Fullest float64 `json:"Fullest"` // at the fullest one
	Mean    float64 `json:"Mean"`    // s of a read
	P99     float64 `json:"P99"`
	Unread  float64 `json:"Unread"` // share of the reads that nobody answers
	Moved   float64 `json:"Moved"`  // bytes that one dispatcher's end has moved
	Local   float64 `json:"Local"`  // share of the reads that need no question
}

// RunCopies plays one.
func RunCopies(s CopiesScenario) (*CopiesResult, error) {
	if s.Members < 1 || s.Copies < 1 || s.Records < 1 || s.Samples < 1 || s.Cut < 0 || s.Cut > 1 || s.Dead < 0 || s.Dead >= 1 {
		return nil, fmt.Errorf("copies: %d of %d records at %d dispatchers: out of range", s.Copies, s.Records, s.Members)
	}
	chance, r := rand.New(rand.NewPCG(s.Seed, 48)), &CopiesResult{}
	var index rendezvous.Index[uint32]
	ids := make([]uint32, s.Members)
	for i := range ids {
		ids[i] = uint32(i)
	}
	index.Set(ids, ids)
	k := min(s.Copies, s.Members)
	holders := func(key int) (all []uint32) {
		index.Walk(rendezvous.Mix(uint64(key)+1), nil, 0, func(h uint32) bool {
			all = append(all, h)
			return len(all) < k
		})
		return all
	}
	held := make([]int, s.Members)
	sampled := min(s.Records, 20_000) // placement is even by chance: a sample tells
	for key := range sampled {
		for _, h := range holders(key) {
			held[h]++
		}
	}
	scale := float64(s.Records) / float64(sampled) * float64(s.Bytes)
	r.Memory, r.Fullest = float64(k)/float64(s.Members)*float64(s.Records*s.Bytes), float64(slices.Max(held))*scale
	if k < s.Members {
		r.Moved = r.Memory // whatever one held goes to others
	}
	dead := make([]bool, s.Members)
	for i := range dead {
		dead[i] = chance.Float64() < s.Dead
	}
	sides := func(i uint32) bool { return s.Cut > 0 && float64(i) >= s.Cut*float64(s.Members) }
	var took []float64
	asked, unread, reads := 0, 0, 0
	for range s.Samples {
		reader := uint32(chance.IntN(s.Members))
		if dead[reader] || sides(reader) {
			continue
		}
		reads++
		all, time, ok := holders(chance.IntN(s.Records)), 0.0, false
		if slices.Contains(all, reader) {
			r.Local++
			took = append(took, 0)
			continue
		}
		chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, h := range all {
			asked++
			if dead[h] || sides(h) {
				time += s.Patience
				continue
			}
			time, ok = time+s.Delay*(chance.ExpFloat64()+chance.ExpFloat64()), true
			break
		}
		if !ok {
			unread++
		}
		took = append(took, time)
	}
	slices.Sort(took)
	for _, t := range took {
		r.Mean += t / float64(max(1, len(took)))
	}
	if len(took) > 0 {
		r.P99 = took[len(took)*99/100]
	}
	n := float64(max(1, reads))
	r.Unread, r.Local = float64(unread)/n, r.Local/n
	r.Bytes = s.Writes*float64(k)*float64(s.Bytes+s.Question)/float64(s.Members) + s.Reads*float64(asked)/n*float64(2*s.Question+s.Bytes)
	return r, nil
}
