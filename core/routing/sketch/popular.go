// Package sketch keeps count of how often objects are asked for, in memory that does not grow with their number: a
// count-min sketch with conservative update, in the turns of a window. It never counts too little within its window, and
// too much by what falls on the same counters. It is pure.
package sketch

import "math"

const (
	rows    = 4   // counters of an object in a turn: the least of them counts, and one in 2^4 is spoilt if half are
	most    = 255 // a counter stands still there: what is asked for that often stands in the table of objects
	spread  = 0x9e3779b97f4a7c15
	leastBy = 1 << 10 // counters of a row
)

// Sketch counts what was asked for in a window of so many turns.
type Sketch struct {
	turns int
	span  float64 // s
	width uint64
	epoch int
	cells []uint8 // by turn, row and column
}

// New makes a sketch of a window of some turns, each so many seconds long, in at most so many bytes.
func New(turns int, span float64, bytes int) *Sketch {
	width := leastBy
	for width*2*rows*turns <= bytes {
		width *= 2
	}
	return &Sketch{turns: turns, span: span, width: uint64(width), cells: make([]uint8, width*rows*turns)}
}

// Bytes is the memory that it takes.
func (s *Sketch) Bytes() int { return len(s.cells) }

// pass lets turns go that are out of the window. Time that stands still or goes back changes nothing.
func (s *Sketch) pass(now float64) {
	epoch := int(math.Min(now/s.span, math.MaxInt32))
	if epoch-s.epoch > s.turns {
		s.epoch = epoch - s.turns
	}
	for s.epoch < epoch {
		s.epoch++
		clear(s.turn(s.epoch))
	}
}

// turn is the counters of one.
func (s *Sketch) turn(epoch int) []uint8 {
	n := rows * int(s.width)
	at := epoch % s.turns * n
	return s.cells[at : at+n]
}

// cell is where an object's counter of a row stands in a turn: two hashes from one, as Kirsch and Mitzenmacher have it.
func (s *Sketch) cell(hash uint64, row uint64) uint64 {
	mixed := hash + row*(hash*spread|1)
	return row*s.width + mixed>>17&(s.width-1)
}

// Add counts that an object was asked for: only those of its counters that say least go up, as the others count more
// than it for sure.
func (s *Sketch) Add(now float64, hash uint64) {
	s.pass(now)
	turn := s.turn(s.epoch)
	least := uint8(most)
	var at [rows]uint64
	for row := range at {
		at[row] = s.cell(hash, uint64(row))
		least = min(least, turn[at[row]])
	}
	if least == most {
		return
	}
	for _, i := range at {
		turn[i] = max(turn[i], least+1)
	}
}

// Buckets gives how often an object was asked for in each turn of the window, at the place of the turn's number by turns;
// never less than it was, but for the most that a counter holds.
func (s *Sketch) Buckets(now float64, hash uint64, to []float64) (sum float64) {
	s.pass(now)
	for turn := range s.turns {
		cells := s.cells[turn*rows*int(s.width):]
		least := uint8(most)
		for row := range uint64(rows) {
			least = min(least, cells[s.cell(hash, row)])
		}
		to[turn] = float64(least)
		sum += float64(least)
	}
	return sum
}
