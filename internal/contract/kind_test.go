package contract

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// law is a purge number with a name that settles equal ones.
type law struct {
	number int
	name   byte
}

func lawKind(fault string) Kind[law] {
	calls := 0
	k := Kind[law]{
		Name:  fault,
		Draw:  func(c *rand.Rand) law { return law{c.IntN(5), byte(c.IntN(4))} },
		Bytes: func(v law) []byte { return []byte{byte(v.number), v.name} },
		Check: func(b []byte) error {
			if fault == "panics" && len(b) == 1 && b[0] > 100 {
				_ = b[len(b)] //nolint:gocritic // this fault is a check that panics
			}
			if fault != "takes all" && (len(b) != 2 || b[0] > 4 || b[1] > 3 || fault == "refuses what is right" && b[0] == 2) {
				return errors.New("no law")
			}
			return nil
		},
		Compare: func(a, b law) int {
			calls++
			switch {
			case fault == "is not symmetric" && a.number == b.number && a.name != b.name:
				return 1
			case fault == "goes round" && a.number != b.number:
				return cmp.Compare((a.number-b.number+5)%5, 2)*2 - 1
			case fault == "is never equal":
				return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.name, b.name), 1)
			case fault == "goes by chance" && calls%7 == 0:
				return -cmp.Compare(a.number, b.number)
			}
			return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.name, b.name))
		},
	}
	higher := func(a, b law) law {
		if k.Compare(a, b) < 0 {
			return b
		}
		return a
	}
	switch fault {
	case "adds up":
		k.Merge = func(a, b law) law { return law{a.number + b.number, max(a.name, b.name)} }
	case "takes the second":
		k.Merge = func(a, b law) law {
			if a.number == b.number {
				return b
			}
			return higher(a, b)
		}
	case "takes the lower":
		k.Merge = func(a, b law) law {
			if k.Compare(a, b) > 0 {
				return b
			}
			return a
		}
	case "takes the mean":
		k.Merge = func(a, b law) law { return law{max(a.number, b.number), (a.name + b.name + 1) / 2} }
	}
	return k
}

func TestLawsWithFaultsAreRefused(t *testing.T) {
	lawKind("").Hold(t)
	for fault, finds := range map[string]string{
		"panics": "panic", "takes all": "nothing is refused", "refuses what is right": "refused",
		"is not symmetric": "order", "goes round": "", "is never equal": "itself", "goes by chance": "", "adds up": "idempotent",
		"takes the second": "commutative", "takes the lower": "at least", "takes the mean": "",
	} {
		words := Refused(t, lawKind(fault).Hold)
		if assert.NotEmpty(t, words, "%s passes", fault) {
			assert.Contains(t, words[0], finds, fault)
		}
	}
}

// plainChannel has notes on their way to each dispatcher, and one list of all where the order is total.
type plainChannel struct {
	order, fault string
	way          [][]Note // to each
	has          []map[string]uint64
	shown        [][]Note // not read yet
	newest       []map[string]Note
	total        []Note
	at           []int
}

func plainChannels(order, fault string) Channels {
	return Channels{Name: order, Order: order, Make: func(_ testing.TB, n int) Channel {
		c := &plainChannel{order: order, fault: fault, way: make([][]Note, n), shown: make([][]Note, n), at: make([]int, n)}
		for range n {
			c.has, c.newest = append(c.has, map[string]uint64{}), append(c.newest, map[string]Note{})
		}
		return c
	}}
}

func (c *plainChannel) Write(at int, n Note) error {
	c.total = append(c.total, n)
	for i := range c.way {
		if c.fault == "never shows one" && i == 1 && n.Number == 5 {
			continue
		}
		c.way[i] = append(c.way[i], n)
		if c.fault == "shows one twice" && n.Number == 3 {
			c.way[i] = append(c.way[i], n)
		}
	}
	if c.order != "total" {
		c.come(at)
	}
	return nil
}

// come shows what is in order of what has come to one.
func (c *plainChannel) come(at int) {
	for again := true; again; {
		again = false
		for i, n := range c.way[at] {
			if !c.due(at, n) {
				continue
			}
			c.way[at] = slices.Delete(slices.Clone(c.way[at]), i, i+1)
			c.has[at][n.Writer] = max(n.Number, c.has[at][n.Writer])
			if was, ok := c.newest[at][n.Key]; c.order == "latest" && c.fault != "shows older ones as newest" && ok && !newer(n, was) {
				again = true
				break
			}
			c.newest[at][n.Key] = n
			if c.fault == "shows what nobody wrote" && n.Number == 4 {
				n.Key = "other"
			}
			c.shown[at] = append(c.shown[at], n)
			again = true
			break
		}
	}
}

func newer(a, b Note) bool {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Writer, b.Writer)) > 0
}

func (c *plainChannel) due(at int, n Note) bool {
	if c.order == "latest" || c.order != "total" && c.fault == "shows what it has at once" {
		return true
	}
	if c.has[at][n.Writer] != n.Number-1 && c.fault != "shows one twice" {
		return false
	}
	if c.order == "causal" && c.fault != "waits for its writer alone" {
		for w, number := range n.After {
			if c.has[at][w] < number {
				return false
			}
		}
	}
	return true
}

func (c *plainChannel) Read(at int) ([]Note, bool) {
	told := c.fault == "tells a gap that is none"
	if c.order == "total" && c.fault != "shows what it has at once" {
		c.shown[at] = c.total[c.at[at]:]
		c.at[at] = len(c.total)
	}
	shown := c.shown[at]
	c.shown[at] = nil
	return shown, told
}

func (c *plainChannel) Pass(chance *rand.Rand) {
	at := chance.IntN(len(c.way))
	chance.Shuffle(len(c.way[at]), func(i, j int) { c.way[at][i], c.way[at][j] = c.way[at][j], c.way[at][i] })
	if chance.IntN(2) == 0 {
		c.come(at)
	}
}

func (c *plainChannel) Settle() {
	for at := range c.way {
		c.come(at)
	}
}

func TestChannelsWithFaultsAreRefused(t *testing.T) {
	for _, order := range []string{"latest", "key", "sender", "causal", "total"} {
		t.Run(order, func(t *testing.T) { plainChannels(order, "").Hold(t) })
	}
	for _, tt := range [][3]string{
		{"latest", "shows older ones as newest", ""},
		{"key", "shows what it has at once", "key goes back"},
		{"sender", "shows what it has at once", "writer"},
		{"sender", "never shows one", "never showed"},
		{"sender", "shows one twice", ""},
		{"causal", "waits for its writer alone", "had seen"},
		{"total", "shows what it has at once", "one here and another there"},
		{"key", "shows what nobody wrote", "nobody wrote"},
		{"key", "tells a gap that is none", "gap is told"},
	} {
		words := Refused(t, plainChannels(tt[0], tt[1]).Hold)
		if assert.NotEmpty(t, words, "%s: %s passes", tt[0], tt[1]) {
			assert.Contains(t, words[0], tt[2], tt[1])
		}
	}
}
