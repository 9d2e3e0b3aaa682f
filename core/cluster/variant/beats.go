package variant

const (
	maxRounds = 16   // questions for beats that are remembered: facts that were longer under way may split, not join
	retold    = 0.25 // of Fresh: how much older than now evidence must be for a peer to be told that it was borne out again

	// BeatEach is the time between a dispatcher's questions for a beat (s): what a fact's age is overrated by is two of them at most, and 1,000
	// dispatchers ask 200 questions a second.
	BeatEach = 5.0
)

// Beat is a number that a giver told. No clock is in it: of one giver's, the higher was told later.
type Beat struct {
	Giver  uint64 // of one process in one life; 0 for no beat
	Number uint64
}

// Giver gives beats. Any dispatcher may be one, and several at once: beats of different givers are never compared.
type Giver struct{ last Beat }

// NewGiver is one whose id no other ever had, so none that stands on a disk.
func NewGiver(id uint64) *Giver { return &Giver{Beat{Giver: max(1, id)}} }

// Next answers one question.
func (g *Giver) Next() Beat {
	g.last.Number++
	return g.last
}

// round is a question for a beat, by this dispatcher's own time.
type round struct {
	sent, heard float64
	beat        Beat
}

// rounds are the last of them.
type rounds struct {
	all  [maxRounds]round
	next int
}

// Beat takes the answer to a question that was sent and heard at these times of this dispatcher. Without any, facts of answers that name no
// version may split and not join.
func (m *Module) Beat(sent, heard float64, b Beat) {
	if b.Giver == 0 || !(sent <= heard) {
		return
	}
	m.tick(sent)
	m.rounds.all[m.rounds.next%maxRounds] = round{sent, heard, b}
	m.rounds.next++
}

// label is the newest beat that was known when a forward began: its answer was made after that beat was told, however long the process stood
// still before it read it.
func (r *rounds) label(began float64) Beat {
	var newest round
	for _, x := range r.all {
		if x.beat.Giver != 0 && x.heard <= began && (newest.beat.Giver == 0 || x.heard >= newest.heard) {
			newest = x
		}
	}
	return newest.beat
}

// since gives a time of this dispatcher before which an answer that bears a beat can't have been made: that of its own newest question to which
// the same giver told a lower number. That number was told after the question was sent, and the answer's later still.
func (m *Module) since(b Beat) (tick uint32, known bool) {
	at := m.zero
	for _, x := range m.rounds.all {
		if b.Giver != 0 && x.beat.Giver == b.Giver && x.beat.Number < b.Number && x.sent >= at {
			at, known = x.sent, true
		}
	}
	return m.tick(at), known
}

// due tells whether an answer that names no version makes a class's evidence so much younger that peers are told.
func (m *Module) due(v *Service, i, c int, host uint32, t uint32) bool {
	younger := func(by *bearer) bool { return t >= by.at && float64(t-by.at) >= retold*v.Fresh*ticks }
	d := &m.classes[i*m.stride+c]
	oldest := &d.first
	for n := range int(d.n) {
		by := m.borne(i, c, n)
		if by.host == host {
			return younger(by)
		}
		if by.at < oldest.at {
			oldest = by
		}
	}
	return int(d.n) < v.Witnesses || younger(oldest)
}
