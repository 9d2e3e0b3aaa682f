package operator

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/admission"
	"elderwall/core/cluster/quota"
	pure "elderwall/core/cluster/variant"
	"elderwall/internal/cluster"
	"elderwall/internal/downstream"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/token"
)

var services = []string{"segment", "page"}

// folder has all that the example names.
func folder(t testing.TB) string {
	dir := t.TempDir()
	put := func(name string, raw []byte) { require.NoError(t, os.WriteFile(filepath.Join(dir, name), raw, 0o600)) }
	k := need.Of(token.NewKey("k1", "EdDSA"))(t)
	k.State = admission.Active
	put("keys.json", need.Of(token.WriteSet([]*token.Key{k.Public()}))(t))
	put("revoked.json", []byte(`{"tokens":["j9"],"subjects":["till-9"]}`))
	a := standin.NewAuthority("clients")
	chain, key := a.Issue("server", "", time.Now().Add(time.Hour))
	put("server.pem", chain)
	put("server.key", key)
	put("clients.pem", a.PEM())
	put("clients.crl", a.Revoke())
	return dir
}

// example is the one of deploy/ with all that it hides, as the files that it names are there.
func example(t testing.TB) string {
	text := string(need.Of(os.ReadFile("../../deploy/operator.example.jsonnet"))(t))
	return strings.NewReplacer(":: ", ": ", "no_keys: true", "no_keys: false").Replace(text)
}

func TestTheExample(t *testing.T) {
	_, err := Load("../../deploy/operator.example.jsonnet", services)
	require.NoError(t, err, "as it stands it names no file that is not there")
	c := need.Of(decode(filepath.Join(folder(t), "operator.jsonnet"), example(t), services))(t)
	s := c.Callers
	assert.Equal(t, []any{30.0, 2.0, 43200.0, "elderwall", 1, []string{"j9"}}, []any{s.Skew, s.Window, s.MaxTokenLifetime, s.Audience, len(s.Keys), s.Revoked.Tokens})
	assert.Equal(t, admission.Tenant{
		Name: "reseller-south", Roles: []string{"clips", "pages"}, Rules: []admission.Rule{{Deny: true, Groups: []int{17}}},
		Quota: admission.Quota{Rate: 200, Burst: 400, MaxInFlight: 256, Weight: 2}, CallerQuota: admission.Quota{Rate: 20, Burst: 40},
	}, s.Tenants[2])
	assert.Equal(t, admission.Rule{Deny: true, Services: []int{1}, Objects: []admission.Prefix{{Bits: 0xff << 48, Digits: 4}}}, s.Roles["pages"][1])
	assert.Equal(t, []any{"127.0.0.1:4143", true, false, 1, 1}, []any{c.TLS.Listen, c.TLS.Required, c.TLS.Only13, len(s.Authorities), len(s.Revoked.Certificates)})
	need.Of(admission.New(0, 0, *s))(t)
}

// faults checks that each text is refused with a fault that says what is wanted; wrap makes a whole file of it.
func faults(t *testing.T, wrap func(text string) string, all map[string]string) {
	for text, want := range all {
		_, err := decode("f", wrap(text), services)
		assert.ErrorContains(t, err, want, text)
	}
}

// file is one with a fleet's section.
func file(in string) string { return `{fleet: {listen: '127.0.0.1:5100', ` + in + `}}` }

func TestEveryFaultIsToldWithItsKeyAndLine(t *testing.T) {
	for _, tt := range []struct{ name, old, new, want string }{
		{"an unknown key", `skew:`, `skw:`, "operator.jsonnet:15: callers.skw: unknown key"},
		{"a time with no unit", `skew: '30s'`, `skew: 30`, `operator.jsonnet:15: callers.skew: must be a time with its unit, such as "250ms", not a number`},
		{"a time in an unknown unit", `'30s'`, `'30 secs'`, "callers.skew: "},
		{"a window too short", `window: '2s'`, `window: '1ms'`, "callers.window: 1ms is not from 0.5s"},
		{"a rate with no unit", `rate: '200/s'`, `rate: 200`, `share.rate: must be a rate with its unit`},
		{"a rate below nothing", `'200/s'`, `'-1/s'`, "share.rate: -1/s is not from"},
		{"part of a GET", `under_way: 64`, `under_way: 6.4`, "tenants.staff.share.under_way: 6.4 is no whole number"},
		{"a delivery service that there is not", `['segment']`, `['sement']`, `"sement" is no delivery service`},
		{"an object with a letter too many", `'00ff*'`, `'00fg*'`, `"00fg*" is neither 16 hex digits nor fewer with a star`},
		{"an object cut short with no star", `'00ff*'`, `'00ff'`, "neither 16 hex digits"},
		{"a group too high", `groups: [17]`, `groups: [256]`, "256 is no group"},
		{"a network that is none", `'10.0.0.0/8'`, `'10.0.0.0'`, `"10.0.0.0" is no network`},
		{"neither allowed nor denied", `[{ allow: {} }]`, `[{}]`, `roles.all[0]: must have "allow" or "deny"`},
		{"a role that there is not", `roles: ['inside']`, `roles: ['insight']`, `there is no role "insight"`},
		{"a claim that can't be required", `'iat'`, `'ate'`, `tokens.require: "ate"`},
		{"a key file of another kind", `'keys.json'`, `'server.pem'`, "tokens.keys: key set"},
		{"a revocation file of another kind", `'revoked.json'`, `'keys.json'`, "tokens.revoked: "},
		{"a certificate's name of no kind", `'dns:*.tools`, `'*.tools`, `must begin with "uri:"`},
		{"a certificate that is a key", `'server.pem'`, `'server.key'`, `tls.certificate: certificate: a PEM block "PRIVATE KEY"`},
		{"an authority that is none", `'clients.pem'`, `'server.pem'`, "is no authority"},
		{"a list of nobody's", `authorities: 'clients.pem'`, `authorities: null`, "tls.authorities: is needed"},
		{"an address that is a name", `127.0.0.1:4143`, `localhost:4143`, "tls.listen: "},
		{"an unknown word", `oldest: '1.2'`, `oldest: '1.1'`, `tls.oldest: "1.1" is none of 1.2, 1.3`},
		{"a weight for callers", `caller: { rate`, `caller: { weight: 2, rate`, "caller: weight is for tenants alone"},
		{"a list for an object", `roles: {`, `roles: [] + {`, "roles"},
		{"no Jsonnet", `callers: {`, `callers: (`, "operator.jsonnet:"},
	} {
		text := example(t)
		require.Contains(t, text, tt.old, tt.name)
		_, err := decode(filepath.Join(folder(t), "operator.jsonnet"), strings.Replace(text, tt.old, tt.new, 1), services)
		assert.ErrorContains(t, err, tt.want, tt.name)
	}
	text := strings.NewReplacer("skew:", "skw:", "'2s'", "2", "[17]", "[-1]").Replace(example(t))
	_, err := decode(filepath.Join(folder(t), "operator.jsonnet"), text, services)
	assert.Equal(t, 3, len(strings.Split(err.Error(), "\n")), "all at once, a line each: %v", err)
}

func TestOneFaultIsToldOnce(t *testing.T) {
	dir := folder(t)
	for _, tt := range []struct{ old, new, want string }{
		{`'keys.json'`, `'none'`, "tokens.keys: stat"},
		{`'keys.json'`, `'server.pem'`, "tokens.keys: key set"},
		{`keys: 'keys.json',`, ``, "tokens.keys: is needed"},
		{`'revoked.json'`, `'none'`, "tokens.revoked: stat"},
		{`'server.pem'`, `'none'`, "tls.certificate: stat"},
		{`'server.pem'`, `'server.key'`, "tls.certificate: certificate: a PEM block"},
		{`certificate: 'server.pem',`, ``, "tls.certificate: and key are needed"},
		{`'server.key'`, `'none'`, "tls.key: stat"},
		{`'clients.pem'`, `'none'`, "tls.authorities: stat"},
		{`'clients.pem'`, `'server.key'`, "authorities: a PEM block"},
		{`'clients.crl'`, `'none'`, "tls.revocations: stat"},
	} {
		text := example(t)
		require.Contains(t, text, tt.old)
		_, err := decode(filepath.Join(dir, "operator.jsonnet"), strings.Replace(text, tt.old, tt.new, 1), services)
		require.ErrorContains(t, err, tt.want)
		assert.Equal(t, 0, strings.Count(err.Error(), "\n"), "%s: %v", tt.old, err)
	}
}

func TestASecretThatOthersMayReadIsRefused(t *testing.T) {
	dir := folder(t)
	require.NoError(t, os.Chmod(filepath.Join(dir, "server.key"), 0o644))
	_, err := decode(filepath.Join(dir, "operator.jsonnet"), example(t), services)
	assert.ErrorContains(t, err, "make it 0600")
}

func FuzzDecode(f *testing.F) {
	f.Add(`{callers: {tenants: {a: {share: {rate: "1/s"}}}}}`)
	f.Add(`{tls: {listen: "127.0.0.1:1", revocations: [1]}, callers: []}`)
	f.Add(`{callers: {tokens: {no_keys: true, require: {}}, roles: {r: [{allow: {objects: ["*"], groups: [1e300]}}]}}}`)
	dir := folder(f)
	f.Fuzz(func(t *testing.T, text string) {
		if strings.ContainsAny(text, "(%") || strings.Contains(text, "for") || strings.Contains(text, "import") {
			t.Skip("programs may run for as long as their operator likes")
		}
		c, err := decode(filepath.Join(dir, "operator.jsonnet"), text, services)
		if err == nil && c.Callers != nil {
			_, err = admission.New(0, 0, *c.Callers)
			assert.NoError(t, err, "what passes the check can be put in force")
		}
	})
}

// FuzzRevocations: a file of what is revoked is taken whole or not at all, whatever it holds.
func FuzzRevocations(f *testing.F) {
	for _, seed := range []string{`{}`, `{"tokens": ["j9"], "subjects": ["till-4"]}`, `{"tokens": [1]}`, `{"token": []}`, `{"tokens": ["j9"]} x`, `[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r admission.Revocations
		if err := revocations(raw, &r); err != nil {
			assert.NotContains(t, err.Error(), "\n", "one line")
			return
		}
		again := need.Of(json.Marshal(map[string][]string{"tokens": r.Tokens, "subjects": r.Subjects}))(t)
		var same admission.Revocations
		require.NoError(t, revocations(again, &same))
		assert.Equal(t, [2]int{len(r.Tokens), len(r.Subjects)}, [2]int{len(same.Tokens), len(same.Subjects)})
	})
}

const onePath = `{ match: '/clips/(?P<object>[0-9a-f]{16})/(?P<part>[0-9]+)', service: 'segment' }`

func TestProxies(t *testing.T) {
	c := need.Of(decode("f", fmt.Sprintf(`{proxies: {listen: '127.0.0.1:9002', paths: [%s], decide: '8ms', late: 'pass', hold: '300ms', share: 0.25, open: 100, metadata: true}}`, onePath), services))(t)
	p := c.Proxies
	assert.Equal(t, []any{"127.0.0.1:9002", 0.008, true, 0.3, 0.25, 100, true, true}, []any{p.Listen, p.Decide, p.Open, p.Calls.HoldTime, p.Calls.MaxProxyShare, p.Calls.MaxOpen, p.Metadata, p.Rules.Routing})
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
		`{listen: 'nowhere', paths: [%s]}`:                                                 "proxies.listen",
	})
}

func TestJoinsAndRetries(t *testing.T) {
	c := need.Of(decode("f", `{joins: ['page'], retries: {share: 0.2}}`, services))(t)
	assert.Equal(t, []bool{false, true}, c.Joins)
	assert.Equal(t, []float64{0.2, 5}, []float64{c.Retries.Share, c.Retries.Floor})
	c = need.Of(decode("f", `{}`, services))(t)
	assert.Nil(t, c.Joins)
	assert.Zero(t, c.Retries)
	faults(t, strings.Clone, map[string]string{
		`{joins: ['nothing']}`: "joins", `{retries: {share: -1}}`: "retries.share",
		`{retries: {floor: 5}}`: "retries.floor", `{retries: {many: 1}}`: "retries.many",
	})
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
	assert.Contains(t, b.All, quota.Budget{Name: "a", Kind: quota.Rate, Total: 2500, Burst: 10})
	assert.Contains(t, b.All, quota.Budget{Name: "fills", Kind: quota.InFlight, Total: 40, Floor: 1, Ceiling: 9})
	faults(t, with, map[string]string{
		``:                                                 "wholes: is needed",
		`wholes: {x: {}}`:                                  "needs one of most, rate and amount",
		`wholes: {x: {most: 1, rate: 2}}`:                  "needs one of most, rate and amount",
		`wholes: {x: {of: 'origin', rate: 2}}`:             "can't be bounded by that",
		`wholes: {x: {of: 'tenant:', most: 2}}`:            "is none of origin, host:NAME, retries and tenant:NAME",
		`wholes: {x: {amount: 2}}`:                         "a window of 0 s",
		`wholes: {x: {most: 2, floor: 3, ceiling: 2}}`:     "the ceiling is under the floor",
		`wholes: {x: {amount: 2, window: '1h', floor: 1}}`: "an amount has no floor", `tail: '40s', wholes: {}`: "tail",
	})
	faults(t, file, map[string]string{`budgets: {wholes: {}}`: "duties: is needed"})
}

func TestMemory(t *testing.T) {
	c := need.Of(decode("/etc/f", file(`memory: {folder: 'here', horizon: '2h', rate: '64KiB'}`), services))(t)
	assert.Equal(t, &cluster.Memory{Folder: "/etc/here", Horizon: 7200, Rate: 64 << 10}, c.Fleet.Memory)
	c = need.Of(decode("f", file(`memory: {}`), services))(t)
	assert.Equal(t, &cluster.Memory{Horizon: 3600, Rate: 1 << 20}, c.Fleet.Memory)
	c = need.Of(decode("f", file(``), services))(t)
	assert.Nil(t, c.Fleet.Memory)
	faults(t, func(text string) string { return file(`memory: {` + text + `}`) }, map[string]string{
		`horizon: 5`: "memory.horizon", `horizon: '1s'`: "memory.horizon",
		`rate: '1KiB'`: "memory.rate", `rate: 5000000`: "memory.rate", `kinds: 3`: "memory.kinds",
	})
}

func TestVariants(t *testing.T) {
	c := need.Of(decode("f", string(need.Of(os.ReadFile("../../examples/variants.jsonnet"))(t)), services))(t)
	v := c.Variants
	assert.Equal(t, pure.Service{
		Classes: []string{"tv", "phone", "car"}, Proof: pure.ProofByTag, Witnesses: 2, Idempotent: true, EvidenceTTL: 600,
		Presumption: &pure.Presumption{MinObjects: 200, MinCheckShare: 0.01},
	}, v.Module.Services[0])
	assert.Empty(t, v.Module.Services[1].Classes)
	assert.Equal(t, []string{"dev", ""}, v.Fields)
	assert.NoError(t, v.Repeatable(services, []bool{true, false}))
	assert.ErrorContains(t, v.Repeatable(services, []bool{false, true}), "fleet.variants.services.segment: its GETs are tokened or non-idempotent")
	assert.Equal(t, []string{"device"}, v.Devices.Fields)
	assert.Equal(t, downstream.Device{Classes: map[string]string{"tv": "tv", "phone": "phone", "car": "car"}}, v.Devices.By["segment"])

	const good = `classes: ['a', 'b'], field: 'Dev', host_field: 'dev', proof: 'body'`
	one := func(more string) string { return file(`variants: {services: {segment: {` + good + more + `}}}`) }
	c = need.Of(decode("f", one(`, fresh: 'until purged'`), services))(t)
	assert.True(t, math.IsInf(c.Variants.Module.Services[0].EvidenceTTL, 1))
	c = need.Of(decode("f", strings.Replace(strings.TrimSuffix(one(""), "}")+`, proxies: {listen: '127.0.0.1:1', paths: [`+onePath+`]}}`, "'body'", "'tag'", 1), services))(t)
	assert.Equal(t, map[string]string{"segment": "dev"}, c.Proxies.Rules.Devices)
	c = need.Of(decode("f", `{fleet: {listen: '127.0.0.1:5100'}}`, services))(t)
	assert.Nil(t, c.Variants)

	bad := one(`, witnesses: 9, fresh: '-1s', presume: {checks: 2}, other: 1`)
	for from, to := range map[string]string{"['a', 'b']": "['a,b']", "'Dev'": "'got'", "'dev'": "'inm'", "'body'": "'hope'"} {
		bad = strings.Replace(bad, from, to, 1)
	}
	_, err := decode("f", bad, services)
	for _, want := range []string{
		"witnesses", "fresh", "presume.checks", "segment.other", "two at least", "must be letters", "segment.field", "segment.host_field",
		"segment.proof",
	} {
		assert.ErrorContains(t, err, want, "all at once")
	}
	faults(t, strings.Clone, map[string]string{strings.Replace(one(""), "segment", "nothing", 1): "no delivery service", file(`variants: {}`): "services: is needed"})
}
