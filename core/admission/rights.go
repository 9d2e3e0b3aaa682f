package admission

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
)

const (
	objectDigits = 16 // hex digits of an object's name
	digitBits    = 4
)

// rights is an index of rules. The rule with the most specific object decides: an exact object before a longer prefix,
// that before a shorter one, and that before rules that name no object. At the same object a denial comes before an
// allowance. A rule whose other conditions do not match is ignored, and a GET that no rule matches is denied.
//
// Objects are stored as prefixes in a table for network prefixes, in the upper half of an IPv6 address. Of the ways
// measured (docs/callers.md), it is the only one whose cost grows neither with the number of rules nor with the number
// of prefix lengths in use.
type rights struct{ byObject bart.Table[*ruleNode] }

// ruleNode holds the rules of one prefix.
type ruleNode struct {
	deny, allow []*condition
	shorter     *ruleNode // node of the next shorter prefix that has rules
}

// condition is what a GET must match besides its object. Rules with the same prefix, effect, services and groups are
// merged into one condition.
type condition struct {
	services uint64
	groups   [4]uint64
	networks *bart.Lite // nil for any
}

func newRights(rules []Rule) *rights {
	r := &rights{}
	var prefixes []Prefix
	for _, rule := range rules {
		objects := rule.Objects
		if len(objects) == 0 {
			objects = []Prefix{{}}
		}
		for _, p := range objects {
			node, ok := r.byObject.Get(p.network())
			if !ok {
				node = &ruleNode{}
				r.byObject.Insert(p.network(), node)
				prefixes = append(prefixes, p)
			}
			node.add(rule)
		}
	}
	slices.SortFunc(prefixes, func(a, b Prefix) int { return cmp.Compare(a.Digits, b.Digits) })
	for _, p := range prefixes {
		node, _ := r.byObject.Get(p.network())
		for digits := p.Digits - 1; digits >= 0 && node.shorter == nil; digits-- {
			node.shorter, _ = r.byObject.Get(p.cut(digits).network())
		}
	}
	return r
}

func (p Prefix) cut(digits int) Prefix {
	return Prefix{p.Bits &^ (^uint64(0) >> (digits * digitBits)), digits}
}

// network returns the prefix as an IPv6 prefix.
func (p Prefix) network() netip.Prefix {
	return netip.PrefixFrom(objectAddr(p.Bits), p.Digits*digitBits)
}

func objectAddr(object uint64) netip.Addr {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], object)
	return netip.AddrFrom16(b)
}

func (p *ruleNode) add(rule Rule) {
	c := condition{services: serviceBits(rule.Services)}
	if len(rule.Groups) == 0 {
		c.groups = [4]uint64{^uint64(0), ^uint64(0), ^uint64(0), ^uint64(0)}
	}
	for _, g := range rule.Groups {
		c.groups[g>>6] |= 1 << (g & 63)
	}
	list := &p.allow
	if rule.Deny {
		list = &p.deny
	}
	i := slices.IndexFunc(*list, func(o *condition) bool { return o.services == c.services && o.groups == c.groups })
	if i < 0 {
		c.networks = &bart.Lite{}
		*list = append(*list, &c)
		i = len(*list) - 1
	}
	existing := (*list)[i]
	if len(rule.Networks) == 0 {
		existing.networks = nil
	}
	if existing.networks != nil {
		for _, n := range rule.Networks {
			existing.networks.Insert(n.Masked())
		}
	}
}

func serviceBits(services []int) (b uint64) {
	if len(services) == 0 {
		return ^uint64(0)
	}
	for _, p := range services {
		b |= 1 << p
	}
	return b
}

func (c *condition) fits(g GET, from netip.Addr) bool {
	return c.services>>g.Service&1 == 1 && c.groups[g.Group>>6&3]>>(g.Group&63)&1 == 1 &&
		(c.networks == nil || c.networks.Contains(from))
}

func anyFits(list []*condition, g GET, from netip.Addr) bool {
	for _, c := range list {
		if c.fits(g, from) {
			return true
		}
	}
	return false
}

// allow reports whether a GET from an address is allowed.
func (r *rights) allow(g GET, from netip.Addr) bool {
	p, ok := r.byObject.Lookup(objectAddr(g.Object))
	if !ok {
		return false
	}
	for ; p != nil; p = p.shorter {
		if anyFits(p.deny, g, from) {
			return false
		}
		if anyFits(p.allow, g, from) {
			return true
		}
	}
	return false
}
