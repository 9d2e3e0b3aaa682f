package operator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/fleet/budgets"
	"elderwall/internal/fleet"
	"elderwall/internal/standin/need"
)

const onePath = `{ match: '/clips/(?P<object>[0-9a-f]{16})/(?P<part>[0-9]+)', service: 'segment' }`

func TestProxies(t *testing.T) {
	c := need.Of(decode("f", fmt.Sprintf(`{proxies: {listen: '127.0.0.1:9002', paths: [%s], decide: '8ms', late: 'pass', hold: '300ms', share: 0.25, open: 100, metadata: true}}`, onePath), services))(t)
	p := c.Proxies
	assert.Equal(t, []any{"127.0.0.1:9002", 0.008, true, 0.3, 0.25, 100, true, true}, []any{p.Listen, p.Decide, p.Open, p.Calls.Hold, p.Calls.Share, p.Calls.Open, p.Metadata, p.Rules.Routing})
	assert.True(t, p.Rules.Paths[0].Pattern.MatchString("/clips/7f3a9c21e0b4d655/3"))
	assert.False(t, p.Rules.Paths[0].Pattern.MatchString("/x/clips/7f3a9c21e0b4d655/3"), "the whole path")
	faults(t, func(text string) string { return "{proxies: " + strings.ReplaceAll(text, "%s", onePath) + "}" }, map[string]string{
		`{paths: [%s]}`: "proxies.listen: is needed", `{listen: '127.0.0.1:1'}`: "proxies.paths: must be 1",
		`{listen: '127.0.0.1:1', paths: [%s], decide: 5}`:                                  "proxies.decide",
		`{listen: '127.0.0.1:1', paths: [%s], decide: '5'}`:                                "proxies.decide",
		`{listen: '127.0.0.1:1', paths: [%s], late: 'never'}`:                              "proxies.late",
		`{listen: '127.0.0.1:1', paths: [%s], mode: 'both'}`:                               "proxies.mode",
		`{listen: '127.0.0.1:1', paths: [%s], share: 2}`:                                   "proxies.share",
		`{listen: '127.0.0.1:1', paths: [%s], prefix: 'X-Elder'}`:                          "proxies.prefix",
		`{listen: '127.0.0.1:1', paths: [%s], unknown: 1}`:                                 "proxies.unknown",
		`{listen: '127.0.0.1:1', paths: [%s], tls: {}}`:                                    "proxies.tls.certificate",
		`{listen: '127.0.0.1:1', paths: [{match: '(', service: 'segment'}]}`:               "match",
		`{listen: '127.0.0.1:1', paths: [{match: '/a', service: 'segment'}]}`:              "a group named object",
		`{listen: '127.0.0.1:1', paths: [{match: '/(?P<object>.*)', service: 'nothing'}]}`: "no delivery service",
		`{listen: 'nowhere', paths: [%s]}`:                                                 "proxies.listen"})
}

func TestJoinsAndRetries(t *testing.T) {
	c := need.Of(decode("f", `{joins: ['page'], retries: {share: 0.2}}`, services))(t)
	assert.Equal(t, []bool{false, true}, c.Joins)
	assert.Equal(t, []float64{0.2, 5}, []float64{c.Retries.Share, c.Retries.Floor})
	c = need.Of(decode("f", `{}`, services))(t)
	assert.Nil(t, c.Joins)
	assert.Zero(t, c.Retries)
	faults(t, strings.Clone, map[string]string{`{joins: ['nothing']}`: "joins", `{retries: {share: -1}}`: "retries.share",
		`{retries: {floor: 5}}`: "retries.floor", `{retries: {many: 1}}`: "retries.many"})
}

func TestBudgets(t *testing.T) {
	with := func(budgets string) string { return file(`duties: {}, budgets: {` + budgets + `}`) }
	c := need.Of(decode("f", with(`generation: 3, tail: '4s', wholes: {
		fills: {of: 'origin', most: 40, floor: 1, ceiling: 9}, a: {of: 'tenant:a', rate: 2.5, burst: 10}, aa: {of: 'tenant:a', most: 3}, again: {of: 'retries', rate: 1},
		bytes: {amount: 100, window: '1h'}}`), services))(t)
	b := c.Fleet.Budgets
	assert.Equal(t, uint64(3), b.Generation)
	assert.Equal(t, 4.0, b.Tail)
	assert.Equal(t, map[string][]string{"origin": {"fills"}, "tenant:a": {"aa", "a"}, "retries": {"again"}}, b.Uses, "what can be given back comes first")
	assert.Contains(t, b.All, budgets.Budget{Name: "a", Kind: budgets.Rate, Whole: 2500, Burst: 10})
	assert.Contains(t, b.All, budgets.Budget{Name: "fills", Kind: budgets.UnderWay, Whole: 40, Floor: 1, Ceiling: 9})
	faults(t, with, map[string]string{
		``:                                                 "wholes: is needed",
		`wholes: {x: {}}`:                                  "needs one of most, rate and amount",
		`wholes: {x: {most: 1, rate: 2}}`:                  "needs one of most, rate and amount",
		`wholes: {x: {of: 'origin', rate: 2}}`:             "can't be bounded by that",
		`wholes: {x: {of: 'tenant:', most: 2}}`:            "is none of origin, host:NAME, retries and tenant:NAME",
		`wholes: {x: {amount: 2}}`:                         "a window of 0 s",
		`wholes: {x: {most: 2, floor: 3, ceiling: 2}}`:     "the ceiling is under the floor",
		`wholes: {x: {amount: 2, window: '1h', floor: 1}}`: "an amount has no floor", `tail: '40s', wholes: {}`: "tail"})
	faults(t, file, map[string]string{`budgets: {wholes: {}}`: "duties: is needed"})
}

func TestMemory(t *testing.T) {
	c := need.Of(decode("/etc/f", file(`memory: {folder: 'here', horizon: '2h', rate: '64KiB'}`), services))(t)
	assert.Equal(t, &fleet.Memory{Folder: "/etc/here", Horizon: 7200, Rate: 64 << 10}, c.Fleet.Memory)
	c = need.Of(decode("f", file(`memory: {}`), services))(t)
	assert.Equal(t, &fleet.Memory{Horizon: 3600, Rate: 1 << 20}, c.Fleet.Memory)
	c = need.Of(decode("f", file(``), services))(t)
	assert.Nil(t, c.Fleet.Memory)
	faults(t, func(text string) string { return file(`memory: {` + text + `}`) }, map[string]string{`horizon: 5`: "memory.horizon", `horizon: '1s'`: "memory.horizon",
		`rate: '1KiB'`: "memory.rate", `rate: 5000000`: "memory.rate", `kinds: 3`: "memory.kinds"})
}
