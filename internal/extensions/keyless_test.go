package extensions

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/proxy"
	rigs "elderwall/internal/standin/rig"
)

// keyed has the delivery service of a platform's configuration be one whose repeats all hosts recognize by a key.
func keyed(platform string) string {
	return strings.Replace(platform, `"effect":"safe"`, `"effect":"keyed","repeatWindow":30000000`, 1)
}

// losesFirst has the answer to the first request be lost: its host has run it, and resets the connection.
func losesFirst(hosts *rigs.Hosts) {
	hosts.Answer(func(a standin.Ask) string {
		if n, _ := hosts.Count(); n == 1 {
			_ = a.Conn.Close()
			return ""
		}
		return standin.Hit(a.ID, "bytes")
	})
}

// keylessFront is a front over which a GET comes that can't bear a key, or brings none.
type keylessFront struct {
	secure bool
	proxy  string // mode of the front for proxies, "" for clients of their own
	ask    func(t *testing.T, r *rig, address string) string
}

func overField(t *testing.T, r *rig, _ string) string {
	return ask(t, r.Dial(), r.token("k1", "counter", "till-4"))
}

func overIdentify(t *testing.T, r *rig, _ string) string {
	c := r.Dial()
	require.Equal(t, "served", need.Of(c.Identify(r.token("k1", "counter", "till-4")))(t).Kind)
	return ask(t, c, "")
}

func overCertificate(t *testing.T, r *rig, _ string) string {
	return ask(t, r.dialTLS(r.till(1)), "")
}

func overFieldAndTLS(t *testing.T, r *rig, _ string) string {
	config := r.till(1)
	config.Certificates = nil
	return ask(t, r.dialTLS(config), r.token("k1", "counter", "till-4"))
}

func overProxy(t *testing.T, r *rig, address string) string {
	p := need.Of(proxy.Dial(address, nil))(t)
	defer p.Close()
	p.Cache = func(string, map[string]string) proxy.Answer { return proxy.Answer{Status: 500} }
	o := p.Do(t.Context(), "/clips/7f3a9c21e0b4d655/3", proxy.None, "authorization", "Bearer "+r.token("k1", "counter", "till-4"))
	require.NoError(t, o.Err)
	assert.LessOrEqual(t, len(o.Hosts), 1, "forwards of the proxy")
	return map[int]string{504: "failed"}[o.Status]
}

var keylessFronts = map[string]keylessFront{
	"a caller by field":               {false, "", overField},
	"a caller by identify":            {false, "", overIdentify},
	"a caller by certificate":         {true, "", overCertificate},
	"a proxy, mode immediate":         {false, "immediate", overProxy},
	"a proxy that sends by itself":    {false, "routing", overProxy},
	"a caller by field, and over TLS": {true, "", overFieldAndTLS},
}

// Guards against a GET of a keyed class running twice where the dispatcher asks who is calling: its field is the caller's token,
// proxies have none for a key, and no host can recognize the repeat.
func TestNoFrontHasAGETWithoutAKeyRunTwice(t *testing.T) {
	for name, front := range keylessFronts {
		for _, shards := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d shards", name, shards), func(t *testing.T) {
				hosts, address := rigs.NewHosts(t, 2), standin.Free()
				losesFirst(hosts)
				text := fmt.Sprintf("cores: { count: 2, shards: %d },", shards)
				if front.proxy != "" {
					text += fmt.Sprintf(` proxies: { listen: %q, mode: %q, decide: '2s',
						paths: [{ match: '/clips/(?P<object>[0-9a-f]{16})/(?P<part>[0-9]+)', service: 'segment', budget: '5s' }] },`, address, front.proxy)
				}
				r := newRigWith(t, hosts, front.secure, keyed, text)
				assert.Equal(t, "failed", front.ask(t, r, address))
				asked, _ := hosts.Count()
				assert.LessOrEqual(t, asked, int64(1), "requests that hosts got")
				assert.Equal(t, 1, r.count("request has no idempotency key"))
				assert.Equal(t, 1, r.count("a GET bears an idempotency key only over a connection that names its caller"), "told at the start")
				assert.Equal(t, front.proxy != "", r.count("a GET of a proxy bears no idempotency key") == 1, "told at the start")
				assert.Zero(t, r.count("request without an idempotency key is sent again"))
			})
		}
	}
}

// namedConnections are connections that themselves name their caller.
var namedConnections = map[string]func(t *testing.T, r *rig) *standin.Client{
	"by identify": func(t *testing.T, r *rig) *standin.Client {
		c := r.Dial()
		require.Equal(t, "served", need.Of(c.Identify(r.token("k1", "counter", "till-4")))(t).Kind)
		return c
	},
	"by certificate": func(_ *testing.T, r *rig) *standin.Client { return r.dialTLS(r.till(1)) },
}

// uniq is the keys of the requests that hosts got since it was last asked.
func uniq(hosts *rigs.Hosts) (keys []string) {
	for _, a := range hosts.Asked() {
		keys = append(keys, a.Fields["uniq"])
	}
	return keys
}

// Guards against a key that a client gives over a connection that names its caller being taken for a token, and against a token
// that reaches a host as a key.
func TestAConnectionThatNamesItsCallerBringsKeys(t *testing.T) {
	for name, connect := range namedConnections {
		for _, shards := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d shards", name, shards), func(t *testing.T) {
				hosts := rigs.NewHosts(t, 2)
				losesFirst(hosts)
				r := newRigWith(t, hosts, true, keyed, fmt.Sprintf("cores: { count: 2, shards: %d },", shards))
				c, own := connect(t, r), r.token("k1", "counter", "till-7")
				assert.Equal(t, "served", ask(t, c, "order-7"), "sent again, as its answer was lost")
				assert.Equal(t, []string{"order-7", "order-7"}, uniq(hosts))
				assert.Equal(t, "served", ask(t, c, own), "a token of its own")
				assert.Equal(t, "failed denied", ask(t, c, r.token("k1", "reseller", "x")), "of a caller with no right")
				assert.Equal(t, []string{""}, uniq(hosts), "tokens are no keys")
				for name, text := range map[string]string{"a comma": "a,up=s-9", "too long": strings.Repeat("k", 65), "tampered": own[:len(own)-6] + "AAAAAA"} {
					assert.Equal(t, "failed token", ask(t, c, text), name)
				}
				assert.Equal(t, "failed token", ask(t, r.Dial(), "order-8"), "its connection names nobody")
				assert.Empty(t, uniq(hosts))
				assert.Zero(t, r.count("request without an idempotency key is sent again"))
			})
		}
	}
}

// Guards against a GET with a key being served for a caller whose connection does not count any more.
func TestAKeyOnAConnectionWhoseCallerWasRevoked(t *testing.T) {
	r := newRigWith(t, rigs.NewHosts(t, 1), false, keyed)
	c := namedConnections["by identify"](t, r)
	require.Equal(t, "served", ask(t, c, "order-1"))
	r.put("revoked.json", []byte(`{"subjects":["till-4"]}`))
	r.reload(again)
	assert.Equal(t, "failed token", ask(t, c, "order-2"))
}
