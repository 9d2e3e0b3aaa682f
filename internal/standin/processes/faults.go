package processes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Kinds of faults.
const (
	Cut     = "cut"     // between A and B, both ways; B none: all others
	CutOff  = "one way" // from A to B
	Lose    = "lose"    // Amount of the datagrams between A and B
	Double  = "double"  // Amount of them come twice
	Delay   = "delay"   // by Amount seconds
	Reorder = "reorder" // by up to Amount seconds
	Slow    = "slow"    // streams to Amount bytes a second
	Stop    = "stop"    // SIGSTOP, and SIGCONT after For
	Kill    = "kill"    // SIGKILL, and a start after For
	Wipe    = "wipe"    // the same with the process's folder emptied
	Term    = "term"    // SIGTERM, and a start after For
)

// Fault is something that happens to processes and what is between them. A For of 0 is to the end.
type Fault struct {
	At     float64 `json:"At"`  // s
	For    float64 `json:"For"` // s
	What   string  `json:"What"`
	A      []int   `json:"A"`
	B      []int   `json:"B"`
	Amount float64 `json:"Amount,omitempty"`
}

// Schedule is the faults of a run: a value that is written by hand or drawn from a seed, and played again from its text.
type Schedule []Fault

// String is the text from which Parse makes the same schedule.
func (s Schedule) String() string {
	raw, _ := json.Marshal(s)
	return string(raw)
}

// Parse reads a schedule's text.
func Parse(text string) (s Schedule, err error) {
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return nil, fmt.Errorf("schedule: %w", err)
	}
	return s, nil
}

// Draw draws a schedule of so many faults among so many processes, over some seconds; all of them are over by then.
func Draw(seed uint64, processes, faults int, seconds float64) (s Schedule) {
	chance := rand.New(rand.NewPCG(seed, 3))
	some := func(most int) []int {
		all := chance.Perm(processes)[:1+chance.IntN(most)]
		slices.Sort(all)
		return all
	}
	kinds := []string{Cut, Cut, CutOff, Lose, Double, Reorder, Stop, Kill, Term}
	for range faults {
		at := chance.Float64() * seconds * 0.7
		f := Fault{At: at, For: min(seconds-at, 0.5+chance.ExpFloat64()*seconds/6), What: kinds[chance.IntN(len(kinds))], Amount: chance.Float64() * 0.5}
		switch f.What {
		case Stop, Kill, Term:
			f.A = some(max(1, processes/3))
		default:
			f.A = some(processes / 2)
		}
		s = append(s, f)
	}
	slices.SortFunc(s, func(a, b Fault) int { return int(1e6 * (a.At - b.At)) })
	return s
}

// Play plays a schedule to its end.
func (r *Rig) Play(s Schedule) {
	type act struct {
		at float64
		do func()
	}
	var acts []act
	for _, f := range s {
		acts = append(acts, act{f.At, func() { r.Begin(f) }})
		if f.For > 0 {
			acts = append(acts, act{f.At + f.For, func() { r.End(f) }})
		}
	}
	slices.SortStableFunc(acts, func(a, b act) int { return int(1e6 * (a.at - b.at)) })
	start := time.Now()
	for _, a := range acts {
		time.Sleep(time.Until(start.Add(time.Duration(a.at * float64(time.Second)))))
		a.do()
	}
}

// Begin begins a fault.
func (r *Rig) Begin(f Fault) { r.fault(f, true) }

// End ends it.
func (r *Rig) End(f Fault) { r.fault(f, false) }

func (r *Rig) fault(f Fault, on bool) {
	amount := map[bool]float64{true: f.Amount}[on]
	change := map[string]func(*Link){
		Cut: func(l *Link) { l.Cut = on }, CutOff: func(l *Link) { l.Cut = on }, Lose: func(l *Link) { l.Loss = amount },
		Double: func(l *Link) { l.Double = amount }, Delay: func(l *Link) { l.Delay = time.Duration(amount * float64(time.Second)) },
		Reorder: func(l *Link) { l.Reorder = time.Duration(amount * float64(time.Second)) }, Slow: func(l *Link) { l.Rate = int(amount) },
	}[f.What]
	if change != nil {
		for _, a := range f.A {
			for b := range r.Processes {
				if a == b || len(f.B) > 0 && !slices.Contains(f.B, b) || len(f.B) == 0 && slices.Contains(f.A, b) {
					continue
				}
				r.links.set(a, b, change)
				if f.What != CutOff {
					r.links.set(b, a, change)
				}
			}
		}
		return
	}
	for _, a := range f.A {
		p := r.Processes[a]
		switch {
		case f.What == Stop:
			p.Signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[on])
		case !on:
			p.Start()
		case f.What == Term:
			p.End()
		default:
			p.Kill()
			if f.What == Wipe {
				p.Wipe()
			}
		}
	}
}
