package lease

import (
	"maps"
	"slices"
)

// MaxVoters is the largest number of voters. It is small because each grant waits for disk syncs at a majority of them.
const MaxVoters = 5

// Voter is a voter of the log, identified by its disk. A process whose disk was lost or replaced by an old copy is a
// different voter.
type Voter struct {
	ID        uint64 `json:"ID"` // of the disk
	Name      string `json:"Name"`
	DiskEpoch uint32 `json:"Era"` // rises with each start from the disk, so that an old copy that was put back has a lower one
}

// WillingVoter is a dispatcher that offers to become a voter.
type WillingVoter struct {
	Voter
	Alive bool
}

// VoterChange is a single change of the set of voters.
type VoterChange struct {
	Kind VoterChangeKind `cbor:"Kind"`
	ID   uint64          `cbor:"ID"`
	Name string          `cbor:"Name"`
}

// VoterChangeKind is the operation of a VoterChange.
type VoterChangeKind uint8

// The kinds of changes.
const (
	NoChange VoterChangeKind = iota
	AddLearner
	Promote
	Remove
)

// Voters returns the registered voters, sorted by ID.
func (s *State) Voters() (all []Voter) {
	for _, id := range slices.Sorted(maps.Keys(s.voters)) {
		all = append(all, s.voters[id])
	}
	return all
}

// Voter returns the registered voter with that ID; false if there is none.
func (s *State) Voter(id uint64) (Voter, bool) {
	v, ok := s.voters[id]
	return v, ok
}

// registerVoter records a new voter, or a known one that has started from its disk again and so has a higher DiskEpoch.
// It returns true if that changed the state.
func (s *State) registerVoter(c Command) bool {
	id, known := c.Token, s.voters[c.Token]
	if id == 0 || c.Name == "" || known.DiskEpoch >= c.DiskEpoch && known.ID != 0 || known.ID == 0 && len(s.voters) >= 4*MaxVoters {
		return false
	}
	s.voters[id] = Voter{ID: id, Name: c.Name, DiskEpoch: c.DiskEpoch}
	return true
}

// NextVoterChange returns the next change of the set of voters; changes are made one at a time. A learner that has
// caught up is promoted. A willing dispatcher is added as a learner, also to replace a voter of the same name whose disk
// was lost; that voter is removed once the replacement votes. A voter is never removed only because it is away.
func (s *State) NextVoterChange(voters, learners []uint64, willing []WillingVoter, caughtUp func(id uint64) bool) VoterChange {
	alive := map[uint64]WillingVoter{}
	for _, w := range willing {
		if w.Alive {
			alive[w.ID] = w
		}
	}
	for _, id := range learners {
		if w, ok := alive[id]; ok && caughtUp(id) {
			return VoterChange{Promote, id, w.Name}
		}
	}
	if id, ok := s.replacedVoter(voters, alive); ok {
		return VoterChange{Remove, id, s.voters[id].Name}
	}
	if id, ok := s.replacedLearner(learners, willing, alive); ok {
		return VoterChange{Remove, id, s.voters[id].Name}
	}
	if len(learners) > 0 {
		return VoterChange{}
	}
	return s.nextLearner(voters, willing, alive)
}

// replacedVoter returns an absent voter whose name another, present voter has; false if there is none.
func (s *State) replacedVoter(voters []uint64, alive map[uint64]WillingVoter) (uint64, bool) {
	for _, id := range voters {
		if _, ok := alive[id]; ok {
			continue
		}
		name := s.voters[id].Name
		replaced := slices.ContainsFunc(voters, func(o uint64) bool {
			w, ok := alive[o]
			return ok && o != id && w.Name == name
		})
		if replaced {
			return id, true
		}
	}
	return 0, false
}

// replacedLearner returns an absent learner whose dispatcher came back with another disk; false if there is none.
func (s *State) replacedLearner(learners []uint64, willing []WillingVoter, alive map[uint64]WillingVoter) (uint64, bool) {
	for _, id := range learners {
		if _, ok := alive[id]; ok {
			continue
		}
		name := s.voters[id].Name
		if slices.ContainsFunc(willing, func(w WillingVoter) bool { return w.Alive && w.Name == name && w.ID != id }) {
			return id, true
		}
	}
	return 0, false
}

// nextLearner returns the addition of a willing dispatcher, if there are fewer than MaxVoters voters or it replaces an
// absent voter of its name.
func (s *State) nextLearner(voters []uint64, willing []WillingVoter, alive map[uint64]WillingVoter) VoterChange {
	for _, w := range willing {
		if !w.Alive || slices.Contains(voters, w.ID) {
			continue
		}
		replaces := slices.ContainsFunc(voters, func(id uint64) bool {
			_, present := alive[id]
			return !present && s.voters[id].Name == w.Name
		})
		if len(voters) < MaxVoters || replaces {
			return VoterChange{AddLearner, w.ID, w.Name}
		}
	}
	return VoterChange{}
}
