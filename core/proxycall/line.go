package proxycall

// Line is GETs that wait for their decision: first forwards before further ones, and of each the oldest that can still be
// in time. It is bounded; what is not decided by its time is passed over, as it has had the operator's choice by then.
type Line[T any] struct {
	Most  int
	lines [2][]waiting[T]
}

type waiting[T any] struct {
	by   float64
	item T
}

// Put puts one in line, to be decided by a time; false if the line is full.
func (l *Line[T]) Put(further bool, by float64, item T) bool {
	if l.Len() >= l.Most {
		return false
	}
	at := 0
	if further {
		at = 1
	}
	l.lines[at] = append(l.lines[at], waiting[T]{by, item})
	return true
}

// Len is how many are in line.
func (l *Line[T]) Len() int { return len(l.lines[0]) + len(l.lines[1]) }

// Next takes the next one out.
func (l *Line[T]) Next(now float64) (item T, ok bool) {
	for at := range l.lines {
		for len(l.lines[at]) > 0 {
			w := l.lines[at][0]
			l.lines[at][0] = waiting[T]{}
			if l.lines[at] = l.lines[at][1:]; len(l.lines[at]) == 0 {
				l.lines[at] = nil
			}
			if w.by > now {
				return w.item, true
			}
		}
	}
	return item, false
}
