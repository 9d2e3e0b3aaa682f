package operator

import (
	"slices"

	"elderwall/internal/extproc"
)

// KeyNotice tells an operator that GETs of delivery services whose repeats hosts recognize by idempotency keys come without one.
type KeyNotice struct {
	Section  string   // of the file, by which they do
	Text     string   // a sentence about GETs of these services
	Services []string // by name
}

// KeyNotices is what the file means for the delivery services that need keys, by name.
func (c *Config) KeyNotices(keyed []string) (all []KeyNotice) {
	if c.Callers != nil && len(keyed) > 0 {
		all = append(all, KeyNotice{
			"callers", "a GET bears an idempotency key only over a connection that names its caller; any other is not sent again once it may have run", keyed,
		})
	}
	if routed := c.proxied(keyed); len(routed) > 0 {
		all = append(all, KeyNotice{"proxies", "a GET of a proxy bears no idempotency key, and is not sent again once it may have run", routed})
	}
	return all
}

// proxied is those of some delivery services whose GETs come from proxies.
func (c *Config) proxied(services []string) (all []string) {
	if c.Proxies == nil {
		return nil
	}
	for _, name := range services {
		if slices.ContainsFunc(c.Proxies.Rules.Paths, func(path extproc.Path) bool { return path.Service == name }) {
			all = append(all, name)
		}
	}
	return all
}
