package admission

import "container/list"

// Sum is the SHA-256 of a token.
type Sum [32]byte

// verdict is a token whose signature is right.
type verdict struct {
	sum    Sum
	key    *Key
	claims Claims

	gen    int // of the settings that what follows was found by
	tenant *tenant
	end    float64 // Unix s
	fault  Refusal

	place *list.Element
	used  bool // more than once
}

// verdicts is the tokens whose signatures are right, in two parts: those used once, and those used again, which
// only one another displace. Guards against a flood of valid tokens that are all different: it displaces only those
// of its own kind, not the ones that callers come back with.
type verdicts struct {
	most        int
	by          map[Sum]*verdict
	once, again list.List // of *verdict, the latest in front
}

func (t *verdicts) resize(most int) {
	if t.most = most; t.by == nil {
		t.by = map[Sum]*verdict{}
	}
	t.trim()
}

func (t *verdicts) onceMost() int { return max(1, int(probation*float64(t.most))) }

func (t *verdicts) trim() {
	for t.again.Len() > max(0, t.most-t.onceMost()) { // back among those used once
		v := t.again.Remove(t.again.Back()).(*verdict)
		v.used, v.place = false, t.once.PushFront(v)
	}
	for t.once.Len() > t.onceMost() {
		delete(t.by, t.once.Remove(t.once.Back()).(*verdict).sum)
	}
}

func (t *verdicts) find(sum Sum) *verdict {
	v := t.by[sum]
	switch {
	case v == nil:
	case v.used:
		t.again.MoveToFront(v.place)
	default:
		t.once.Remove(v.place)
		v.used, v.place = true, t.again.PushFront(v)
		t.trim()
	}
	return v
}

func (t *verdicts) put(v *verdict) {
	if old := t.by[v.sum]; old != nil {
		if old.used {
			t.again.Remove(old.place)
		} else {
			t.once.Remove(old.place)
		}
	}
	t.by[v.sum] = v
	v.place = t.once.PushFront(v)
	t.trim()
}
