package extras

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/grpc/credentials"

	"elderwall/internal/service"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/proxy"
	"elderwall/internal/token"
	"elderwall/stages/callers"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a dispatcher with an operator's file, its keys and an authority, between stand-ins.
type rig struct {
	t                    testing.TB
	dir, address, secure string
	authority            *standin.Authority
	keys                 map[string]*token.Key
	host                 *standin.Host
	slow                 atomic.Pointer[chan bool] // what the host waits for before it answers
	signals              chan os.Signal
	ended                chan error
	log                  lockedBuffer
}

// lockedBuffer is a log that is read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Count(l.b.Bytes(), []byte(text))
}

const fileText = `{
  callers: {
    window: '1s',
    tokens: { keys: 'keys.json', revoked: 'revoked.json' },
    certificates: [{ name: 'uri:spiffe://x/counter/*', tenant: 'counter' }],
    roles: { all: [{ allow: {} }], none: [{ deny: {} }] },
    tenants: { counter: { roles: ['all'] }, reseller: { roles: ['none'] }, small: { roles: ['all'], share: { under_way: 1 } } },
  }, %s
}`

const tlsText = `tls: { listen: %q, certificate: 'server.pem', key: 'server.key', authorities: 'clients.pem', revocations: ['clients.crl'] },`

func newRig(t testing.TB, secure bool) *rig { return newRigWith(t, secure, "") }

func newRigWith(t testing.TB, secure bool, text string) *rig {
	r := &rig{t: t, dir: t.TempDir(), address: standin.Free(), keys: map[string]*token.Key{}, signals: make(chan os.Signal, 4), ended: make(chan error, 1)}
	r.host = need.Of(standin.Listen("127.0.0.1:0", r.answer))(t)
	changes := need.Of(standin.ListenChangeLog("127.0.0.1:0"))(t)
	changes.Push(standin.List(1, true, "s-1 "+r.host.Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING"))
	r.key("k1", callers.Active)
	r.put("revoked.json", []byte(`{}`))
	if secure {
		r.secure, r.authority = standin.Free(), standin.NewAuthority("ours")
		chain, key := r.authority.Issue("server", "", time.Now().Add(time.Hour))
		r.put("server.pem", chain)
		r.put("server.key", key)
		r.put("clients.pem", r.authority.PEM())
		r.put("clients.crl", r.authority.List())
		text += fmt.Sprintf(tlsText, r.secure)
	}
	r.put("operator.jsonnet", fmt.Appendf(nil, fileText, text))
	r.put("config.json", []byte(standin.Config(r.address, changes.Address, "", 1000)))
	read := func() (*service.Config, error) {
		return service.ReadConfig(func(name string) string {
			return map[string]string{"PROXY_CONFIG": filepath.Join(r.dir, "config.json")}[name]
		})
	}
	c := need.Of(read())(t)
	e := need.Of(Read(filepath.Join(r.dir, "operator.jsonnet"), c.Name, c.Services(), c.Repeats(), 0))(t)
	go func() { r.ended <- service.Run(c, e, zerolog.New(&r.log), r.signals, read) }()
	t.Cleanup(func() { r.signals <- syscall.SIGTERM; assert.NoError(t, <-r.ended); r.host.Close(); changes.Close() })
	require.Eventually(t, r.ready, 5*time.Second, time.Millisecond)
	return r
}

func (r *rig) ready() bool { return need.Ready(r.address) }

func (r *rig) answer(a standin.Ask) string {
	if a.Stop {
		return ""
	}
	if wait := r.slow.Load(); wait != nil {
		<-*wait
	}
	return standin.Hit(a.ID, "bytes")
}

func (r *rig) put(name string, raw []byte) {
	path := filepath.Join(r.dir, name)
	require.NoError(r.t, os.WriteFile(path+".new", raw, 0o600))
	require.NoError(r.t, os.Rename(path+".new", path))
}

// key makes a key, or gives one another state, and writes the set.
func (r *rig) key(id string, state callers.KeyState) {
	if r.keys[id] == nil {
		k := need.Of(token.NewKey(id, "EdDSA"))(r.t)
		r.keys[id] = k
	}
	r.keys[id].State = state
	var open []*token.Key
	for _, k := range r.keys {
		open = append(open, k.Public())
	}
	raw := need.Of(token.WriteSet(open))(r.t)
	r.put("keys.json", raw)
}

// reload has the dispatcher read its files again, and waits until it has.
func (r *rig) reload(line string) {
	before := r.log.count(line)
	r.signals <- syscall.SIGHUP
	require.Eventually(r.t, func() bool { return r.log.count(line) > before }, 5*time.Second, time.Millisecond)
}

func (r *rig) token(key, tenant, subject string) string {
	now := float64(time.Now().Unix())
	text := need.Of(r.keys[key].Sign(callers.Claims{Subject: subject, Tenant: tenant, ID: subject, IssuedAt: now, Expiry: now + 60}))(r.t)
	return text
}

var ids atomic.Int64

// fields are those of a new GET, of which the open ids differ.
func fields(token string) map[string]string {
	return standin.Fields("rid", fmt.Sprintf("%016x", ids.Add(1)), "token", token, "budget", "5000")
}

func ask(t testing.TB, c *standin.Client, token string) standin.Reply {
	need.Of(c.Process(fields(token), ""))(t)
	return need.Of(c.Read())(t)
}

func (r *rig) dial() *standin.Client { return need.Client(r.t, r.address) }

func (r *rig) dialTLS(c *tls.Config) *standin.Client {
	client := need.Of(standin.DialTLS(r.secure, c))(r.t)
	r.t.Cleanup(func() { _ = client.Conn.Close() })
	return client
}

func TestWhoIsCalling(t *testing.T) {
	r := newRig(t, false)
	c, good := r.dial(), r.token("k1", "counter", "till-4")
	old := need.Of(r.keys["k1"].Sign(callers.Claims{Subject: "x", Tenant: "counter", Expiry: float64(time.Now().Unix() - 31)}))(t)
	for _, tt := range []struct{ name, token, kind, reason string }{
		{"a good token", good, "served", ""},
		{"the same again", good, "served", ""},
		{"a tampered one", good[:len(good)-6] + "AAAAAA", "failed", "token"},
		{"an ended one", old, "failed", "expired"},
		{"none", "", "failed", "unknown"},
		{"one with no right", r.token("k1", "reseller", "x"), "failed", "denied"},
		{"of a tenant that there is not", r.token("k1", "else", "x"), "failed", "unknown"},
		{"no token at all", "x", "failed", "token"},
		{"a long one", string(bytes.Repeat([]byte("A"), 100000)), "failed", "token"}} {
		got := ask(t, c, tt.token)
		assert.Equal(t, []string{tt.kind, tt.reason}, []string{got.Kind, got.Fields["reason"]}, tt.name)
	}
	got := need.Of(c.Identify("x"))(t)
	assert.Equal(t, []string{"identify", "failed", "token"}, []string{got.Method, got.Kind, got.Fields["reason"]})
	got = need.Of(c.Identify(good))(t)
	assert.Equal(t, []string{"identify", "served"}, []string{got.Method, got.Kind})
	assert.Equal(t, "served", ask(t, c, "").Kind, "named by its connection")
	assert.Equal(t, "failed", ask(t, c, "x").Kind, "a token of the GET's own goes first")
	r.put("revoked.json", []byte(`{"subjects":["till-4"]}`))
	r.reload("callers read again")
	assert.Equal(t, "failed", ask(t, c, "").Kind, "revoked, on an open connection")
	assert.Zero(t, r.log.count(good), "no token is in the log")
}

func TestAShareThatIsUsedUpIsShed(t *testing.T) {
	r, wait := newRig(t, false), make(chan bool)
	r.slow.Store(&wait)
	c, small := r.dial(), r.token("k1", "small", "x")
	for range 2 {
		need.Of(c.Process(fields(small), ""))(t)
	}
	got := need.Of(c.Read())(t)
	assert.Equal(t, []any{int32(2), "refused"}, []any{got.Seq, got.Kind})
	close(wait)
	got = need.Of(c.Read())(t)
	assert.Equal(t, []any{int32(1), "served"}, []any{got.Seq, got.Kind})
	assert.Equal(t, "served", ask(t, c, small).Kind)
}

// load has clients ask steadily until it is ended, and counts the answers by kind and reason.
type load struct {
	mu   sync.Mutex
	seen map[string]int
	all  sync.WaitGroup
	stop atomic.Bool
}

func (r *rig) load(clients int, token func(int) string) *load {
	l := &load{seen: map[string]int{}}
	for i := range clients {
		c := r.dial()
		l.all.Go(func() {
			for n := 0; !l.stop.Load(); n++ {
				seq, err := c.Process(fields(token(i+n)), "")
				var got standin.Reply
				if err == nil {
					got, err = c.Read()
				}
				l.mu.Lock()
				switch {
				case err != nil:
					l.seen["broken"]++
				case got.Seq != seq:
					l.seen["answer of another GET"]++
				default:
					l.seen[got.Kind+got.Fields["reason"]]++
				}
				l.mu.Unlock()
				time.Sleep(time.Millisecond)
			}
		})
	}
	return l
}

func (l *load) end() map[string]int { l.stop.Store(true); l.all.Wait(); return l.seen }

// TestKeysRotateUnderSteadyLoad has three rotations, each with tokens of the old and the new key mixed, and asks by a
// revoked key all the while: no valid caller is refused, no revoked one is returned after the window.
func TestKeysRotateUnderSteadyLoad(t *testing.T) {
	r := newRig(t, false)
	var signed atomic.Pointer[[]string] // tokens in use
	r.key("bad", callers.Active)
	r.reload("callers read again")
	bad, old := r.token("bad", "counter", "thief"), r.token("k1", "counter", "till")
	signed.Store(&[]string{old})
	steady := r.load(8, func(i int) string { now := *signed.Load(); return now[i%len(now)] })
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, "served", ask(t, r.dial(), bad).Kind)
	r.key("bad", callers.Revoked)
	r.reload("callers read again") // from here on the window, of which nothing is needed
	thief := r.load(2, func(int) string { return bad })
	for i := 2; i <= 4; i++ {
		id, before := fmt.Sprint("k", i), fmt.Sprint("k", i-1)
		r.key(id, callers.Announced)
		r.reload("callers read again")
		r.key(id, callers.Active)
		r.reload("callers read again")
		fresh := r.token(id, "counter", "till")
		signed.Store(&[]string{old, fresh})
		time.Sleep(50 * time.Millisecond)
		r.key(before, callers.Retiring)
		r.reload("callers read again")
		time.Sleep(50 * time.Millisecond)
		signed.Store(&[]string{fresh})
		time.Sleep(50 * time.Millisecond) // those with an old token in hand are done
		r.key(before, callers.Revoked)
		r.reload("callers read again")
		assert.Equal(t, "token", ask(t, r.dial(), old).Fields["reason"])
		old = fresh
	}
	good, refused := steady.end(), thief.end()
	assert.Greater(t, good["served"], 500)
	assert.Len(t, good, 1, "no valid caller is refused: %v", good)
	assert.Greater(t, refused["failedtoken"], 50)
	assert.Len(t, refused, 1, "no revoked one is returned: %v", refused)
}

func TestFilesThatCannotBeUsedLeaveTheOldOnesInForce(t *testing.T) {
	r := newRig(t, true)
	c, good, whole := r.dial(), r.token("k1", "counter", "till"), map[string][]byte{}
	for _, name := range []string{"operator.jsonnet", "keys.json", "revoked.json", "clients.crl", "server.pem", "clients.pem"} {
		raw := need.Of(os.ReadFile(filepath.Join(r.dir, name)))(t)
		whole[name] = raw
		bad := raw[:len(raw)/2]
		if name == "revoked.json" {
			bad = []byte(`{"tokens":[`)
		}
		r.put(name, bad)
		r.reload("the old one stays")
		assert.Equal(t, "served", ask(t, c, good).Kind, name)
		r.put(name, raw)
	}
	for name, text := range map[string]string{"no keys": `{"keys":[]}`, "no callers any more": ""} {
		if text == "" {
			r.put("operator.jsonnet", []byte(`{}`))
		} else {
			r.put("keys.json", []byte(text))
		}
		r.reload("the old one stays")
		assert.Equal(t, "served", ask(t, c, good).Kind, name)
		r.put("keys.json", whole["keys.json"])
	}
	r.put("operator.jsonnet", whole["operator.jsonnet"])
	r.reload("callers read again")
	assert.Equal(t, 8, r.log.count("the old one stays"), "one warning each")
}

func TestACertificateRevokedWhileItsConnectionIsOpen(t *testing.T) {
	r := newRig(t, true)
	other := r.dialTLS(r.authority.Client("till-1", "spiffe://x/counter/1", time.Now().Add(time.Hour)))
	require.Equal(t, "served", ask(t, other, "").Kind)
	config := r.authority.Client("till-2", "spiffe://x/counter/2", time.Now().Add(time.Hour))
	config.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	idle, busy, stuck := r.dialTLS(config), r.dialTLS(config), r.dialTLS(config)
	for _, c := range []*standin.Client{idle, busy, stuck} {
		require.Equal(t, "served", ask(t, c, "").Kind)
	}
	wait := make(chan bool)
	r.slow.Store(&wait)
	for _, c := range []*standin.Client{busy, stuck} {
		need.Of(c.Process(fields(""), ""))(t)
	}
	time.Sleep(50 * time.Millisecond) // they are under way
	r.put("clients.crl", r.authority.Revoke())
	began := time.Now()
	r.reload("callers read again")
	_, err := idle.Read()
	assert.Error(t, err, "with nothing open it is closed at once")
	need.Of(busy.Process(fields(""), ""))(t)
	got := need.Of(busy.Read())(t)
	assert.Equal(t, []string{"failed", "certificate"}, []string{got.Kind, got.Fields["reason"]}, "new ones are refused")
	need.Of(busy.Conn.Write(nil))(t)
	wait <- true // one of the two under way is answered, the other is not before the window is over
	first, second, kinds := make(chan error, 1), make(chan error, 1), make(chan string, 2)
	read := func(c *standin.Client, end chan error) {
		got, err := c.Read()
		if err == nil {
			kinds <- got.Kind
			_, err = c.Read()
		}
		end <- err
	}
	go read(busy, first)
	go read(stuck, second)
	assert.Error(t, <-first, "closed")
	assert.Error(t, <-second, "closed")
	assert.ElementsMatch(t, []string{"served", "failed"}, []string{<-kinds, <-kinds}, "each under way has one answer")
	assert.Less(t, time.Since(began), 1200*time.Millisecond, "within the window")
	close(wait)
	r.slow.Store(nil)
	resumed := r.dialTLS(config)
	assert.True(t, resumed.Conn.(*tls.Conn).ConnectionState().DidResume)
	got = ask(t, resumed, "")
	assert.Equal(t, []string{"failed", "certificate"}, []string{got.Kind, got.Fields["reason"]}, "a resumed session is judged like a new one")
	assert.Equal(t, "served", ask(t, other, "").Kind, "the connections of others go on")
}

// A certificate that comes to its end while its connection is open: what is under way is answered, new GETs are refused,
// and the connection goes within the window.
func TestACertificateThatEndsWhileItsConnectionIsOpen(t *testing.T) {
	r := newRig(t, true)
	text := strings.Replace(fmt.Sprintf(fileText, fmt.Sprintf(tlsText, r.secure)), "window: '1s',", "window: '1s', skew: '0s',", 1)
	r.put("operator.jsonnet", []byte(text))
	r.reload("callers read again")
	end := time.Now().Add(2 * time.Second).Truncate(time.Second)
	busy := r.dialTLS(r.authority.Client("till-1", "spiffe://x/counter/1", end))
	require.Equal(t, "served", ask(t, busy, "").Kind)
	wait := make(chan bool)
	r.slow.Store(&wait)
	_, err := busy.Process(fields(""), "")
	require.NoError(t, err)
	time.Sleep(time.Until(end.Add(50 * time.Millisecond)))
	need.Of(busy.Process(fields(""), ""))(t)
	got := need.Of(busy.Read())(t)
	assert.Equal(t, []string{"failed", "certificate"}, []string{got.Kind, got.Fields["reason"]}, "new ones are refused")
	close(wait)
	got = need.Of(busy.Read())(t)
	assert.Equal(t, "served", got.Kind, "what was taken before stays taken")
	_, err = busy.Read()
	assert.Error(t, err, "closed")
	assert.Less(t, time.Since(end), 1500*time.Millisecond, "within the window")
}

func TestCertificatesOfAServerChangeWithNoConnectionDropped(t *testing.T) {
	r := newRig(t, true)
	config := r.authority.Client("till-1", "spiffe://x/counter/1", time.Now().Add(time.Hour))
	before := r.dialTLS(config)
	chain, key := r.authority.Issue("server-2", "", time.Now().Add(time.Hour))
	r.put("server.pem", chain)
	r.put("server.key", key)
	r.reload("callers read again")
	after := r.dialTLS(config)
	assert.Equal(t, "server-2", after.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Subject.CommonName)
	assert.Equal(t, "served", ask(t, before, "").Kind)
	assert.Equal(t, "served", ask(t, after, "").Kind)
	without := r.dialTLS(&tls.Config{RootCAs: config.RootCAs})
	assert.Equal(t, "unknown", ask(t, without, "").Fields["reason"], "no certificate")
	old := r.dialTLS(&tls.Config{RootCAs: config.RootCAs, Certificates: config.Certificates, MaxVersion: tls.VersionTLS12})
	assert.Equal(t, "served", ask(t, old, "").Kind, "by TLS 1.2")
	stranger := standin.NewAuthority("stranger").Client("till-1", "spiffe://x/counter/1", time.Now().Add(time.Hour))
	stranger.RootCAs = config.RootCAs
	stranger.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { // whomever the server asks for
		return &stranger.Certificates[0], nil
	}
	c, err := standin.DialTLS(r.secure, stranger)
	if err == nil { // with TLS 1.3 the client hears of it by its first read
		_, err = c.Probe()
		_ = c.Conn.Close()
	}
	assert.Error(t, err, "of no authority that is trusted")
	scan := need.Of(net.Dial("tcp", r.secure))(t)
	_, _ = scan.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_ = scan.Close()
	assert.Equal(t, "served", ask(t, before, "").Kind)
}

// TestAReloadAtEachMomentOfADrain has keys change before, while and after clients may still come.
func TestAReloadAtEachMomentOfADrain(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, false)
			c, good, wait := r.dial(), r.token("k1", "counter", "till"), make(chan bool)
			r.slow.Store(&wait)
			need.Of(c.Process(fields(good), ""))(t)
			time.Sleep(20 * time.Millisecond)
			r.signals <- syscall.SIGTERM
			time.Sleep(after)
			r.key("k1", callers.Revoked)
			r.reload("callers read again")
			need.Of(c.Process(fields(good), ""))(t)
			got := need.Of(c.Read())(t)
			assert.Contains(t, []string{"failed", "refused"}, got.Kind, "revoked, or too late")
			close(wait)
			got = need.Of(c.Read())(t)
			assert.Equal(t, []any{int32(1), "served"}, []any{got.Seq, got.Kind}, "what was taken is answered")
		})
	}
}

// TestAReloadAndSIGTERMWithGETsInEveryShard has the file ask for more shards and fewer, and the dispatcher end, while each shard has GETs under way.
func TestAReloadAndSIGTERMWithGETsInEveryShard(t *testing.T) {
	r := newRigWith(t, false, "cores: { count: 4 },")
	c, good, wait := r.dial(), r.token("k1", "counter", "till"), make(chan bool)
	r.slow.Store(&wait)
	for i := range 32 {
		f := fields(good)
		f["obj"] = fmt.Sprintf("%016x", i)
		need.Of(c.Process(f, ""))(t)
	}
	for _, n := range []int{6, 2} {
		r.put("operator.jsonnet", fmt.Appendf(nil, fileText, fmt.Sprintf("cores: { count: 4, shards: %d },", n)))
		r.reload("configuration read again")
	}
	r.put("operator.jsonnet", fmt.Appendf(nil, fileText, ""))
	r.reload("configuration read again")
	assert.Equal(t, 2, r.log.count(`"message":"shards"`))
	assert.Equal(t, 1, r.log.count("is changed by a restart alone"))
	r.signals <- syscall.SIGTERM
	time.Sleep(50 * time.Millisecond)
	close(wait)
	for range 32 {
		assert.Equal(t, "served", need.Of(c.Read())(t).Kind)
	}
	require.NoError(t, <-r.ended)
	r.ended <- nil // the clean-up waits for it
	assert.GreaterOrEqual(t, r.log.count(`"message":"counters"`), 3, "of each shard that there is, and their sum")
	assert.Equal(t, 1, r.log.count(`"GETs":32,`))
}

// Proxies that ask, by the operator's file, over TLS and with callers: a proxy's token names the caller, its certificate the
// proxy; a drain ends it all.
func TestProxiesThatAsk(t *testing.T) {
	address := standin.Free()
	r := newRigWith(t, true, fmt.Sprintf(`proxies: { listen: %q, decide: '2s', tls: { certificate: 'server.pem', key: 'server.key', authorities: 'clients.pem', required: true },
		paths: [{ match: '/clips/(?P<object>[0-9a-f]{16})/(?P<part>[0-9]+)', service: 'segment', budget: '5s' }] },`, address))
	config := r.authority.Client("edge-1", "spiffe://x/edge/1", time.Now().Add(time.Hour))
	config.ServerName = "127.0.0.1"
	p := need.Of(proxy.Dial(address, credentials.NewTLS(config)))(t)
	defer p.Close()
	p.Cache = func(host string, _ map[string]string) proxy.Answer {
		assert.Equal(t, r.host.Address, host)
		return proxy.Answer{Status: 200}
	}
	ask := func(token string) proxy.Outcome {
		return p.Do(t.Context(), "/clips/7f3a9c21e0b4d655/3", proxy.None, "authorization", "Bearer "+token)
	}
	o := ask(r.token("k1", "counter", "a"))
	require.NoError(t, o.Err)
	assert.Equal(t, []int{200, 1}, []int{o.Status, len(o.Hosts)})
	o = ask(r.token("k1", "reseller", "b"))
	assert.Equal(t, []any{403, "denied"}, []any{o.Status, o.Headers["x-elderwall-reason"]})
	assert.Equal(t, 403, ask("forged").Status)
	var stop atomic.Bool
	var all sync.WaitGroup
	token := r.token("k1", "counter", "c")
	for range 4 {
		all.Go(func() {
			for !stop.Load() {
				o := ask(token)
				assert.Equal(t, []int{200, 1}, []int{o.Status, o.Answers})
			}
		})
	}
	for range 3 { // under load
		r.reload("callers read again")
	}
	stop.Store(true)
	all.Wait()
	plain := need.Of(proxy.Dial(address, nil))(t)
	defer plain.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.Error(t, plain.Do(ctx, "/clips/7f3a9c21e0b4d655/3", proxy.None).Err, "TLS alone")
}
