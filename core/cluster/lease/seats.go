package lease

import (
	"maps"
	"slices"
)

// MostSeats is how many voters there are at most: each grant waits for the syncs of more than half of them.
const MostSeats = 5

// Seat is a voter of the log: a process with its disk. A disk that was lost, or is an old copy, is another seat.
type Seat struct {
	ID   uint64 `json:"ID"` // of the disk
	Name string `json:"Name"`
	Era  uint32 `json:"Era"` // counts the disk's starts, and rises with time: a copy that is put back has an older one
}

// Willing is a dispatcher that would vote.
type Willing struct {
	Seat
	Alive bool
}

// Change is one change to who votes.
type Change struct {
	Kind ChangeKind `cbor:"Kind"`
	ID   uint64     `cbor:"ID"`
	Name string     `cbor:"Name"`
}

// ChangeKind is what a change does.
type ChangeKind uint8

// The kinds.
const (
	NoChange ChangeKind = iota
	AddLearner
	Promote
	Remove
)

// Seats lists the voters' seats that the log knows, by id.
func (s *State) Seats() (all []Seat) {
	for _, id := range slices.Sorted(maps.Keys(s.seats)) {
		all = append(all, s.seats[id])
	}
	return all
}

// Seat gives one.
func (s *State) Seat(id uint64) (Seat, bool) {
	seat, ok := s.seats[id]
	return seat, ok
}

// sit books a seat, or its later era.
func (s *State) sit(c Command) bool {
	id, at := c.Token, s.seats[c.Token]
	if id == 0 || c.Name == "" || at.Era >= c.Era && at.ID != 0 || at.ID == 0 && len(s.seats) >= 4*MostSeats {
		return false
	}
	s.seats[id] = Seat{ID: id, Name: c.Name, Era: c.Era}
	return true
}

// NextChange is the next change to who votes, one at a time: learners that have caught up vote; who is willing learns, also in
// place of a seat of the same name whose disk is lost; that one goes once the other votes. Nobody is taken out for being away.
func (s *State) NextChange(voters, learners []uint64, willing []Willing, caughtUp func(id uint64) bool) Change {
	alive := map[uint64]Willing{}
	for _, w := range willing {
		if w.Alive {
			alive[w.ID] = w
		}
	}
	for _, id := range learners {
		if w, ok := alive[id]; ok && caughtUp(id) {
			return Change{Promote, id, w.Name}
		}
	}
	if id, ok := s.replacedVoter(voters, alive); ok {
		return Change{Remove, id, s.seats[id].Name}
	}
	if id, ok := s.replacedLearner(learners, willing, alive); ok {
		return Change{Remove, id, s.seats[id].Name}
	}
	if len(learners) > 0 {
		return Change{}
	}
	return s.nextLearner(voters, willing, alive)
}

// replacedVoter is a voter that is away while another of its name votes; false for none.
func (s *State) replacedVoter(voters []uint64, alive map[uint64]Willing) (uint64, bool) {
	for _, id := range voters {
		if _, ok := alive[id]; ok {
			continue
		}
		name := s.seats[id].Name
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

// replacedLearner is a learner that came and went, and came with another disk; false for none.
func (s *State) replacedLearner(learners []uint64, willing []Willing, alive map[uint64]Willing) (uint64, bool) {
	for _, id := range learners {
		if _, ok := alive[id]; ok {
			continue
		}
		name := s.seats[id].Name
		if slices.ContainsFunc(willing, func(w Willing) bool { return w.Alive && w.Name == name && w.ID != id }) {
			return id, true
		}
	}
	return 0, false
}

// nextLearner adds one who is willing, where a seat is free or one of its name is away.
func (s *State) nextLearner(voters []uint64, willing []Willing, alive map[uint64]Willing) Change {
	for _, w := range willing {
		if !w.Alive || slices.Contains(voters, w.ID) {
			continue
		}
		instead := slices.ContainsFunc(voters, func(id uint64) bool {
			_, there := alive[id]
			return !there && s.seats[id].Name == w.Name
		})
		if len(voters) < MostSeats || instead {
			return Change{AddLearner, w.ID, w.Name}
		}
	}
	return Change{}
}
