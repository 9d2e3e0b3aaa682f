package extensions

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
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

	"elderwall/core/admission"
	"elderwall/internal/service"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/proxy"
	rigs "elderwall/internal/standin/rig"
	"elderwall/internal/token"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a dispatcher with an operator's file, its keys and an authority, between stand-ins.
type rig struct {
	*rigs.Dispatcher
	dir, secure string
	authority   *standin.Authority
	keys        map[string]*token.Key
	hosts       *rigs.Hosts
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

func newRig(t testing.TB, secure bool, text ...string) *rig {
	return newRigWith(t, rigs.NewHosts(t, 1), secure, func(platform string) string { return platform }, text...)
}

// newRigWith is newRig before other hosts, with changes to the platform's configuration.
func newRigWith(t testing.TB, hosts *rigs.Hosts, secure bool, configure func(platform string) string, text ...string) *rig {
	r := &rig{Dispatcher: &rigs.Dispatcher{TB: t}, dir: t.TempDir(), keys: map[string]*token.Key{}, hosts: hosts}
	changes := need.Of(standin.ListenChangeLog("127.0.0.1:0"))(t)
	t.Cleanup(changes.Close)
	list := []string{"s-1 " + r.hosts.All[0].Address + " std SERVING", "s-2 127.0.0.1:1 origin SERVING"}
	for i, h := range r.hosts.All[1:] {
		list = append(list, fmt.Sprintf("s-%d %s std SERVING", 3+i, h.Address))
	}
	changes.Push(standin.List(1, true, list...))
	r.key("k1", admission.Active)
	r.put("revoked.json", []byte(`{}`))
	if secure {
		r.secure, r.authority = standin.Free(), standin.NewAuthority("ours")
		r.certify("server")
		r.put("clients.pem", r.authority.PEM())
		r.put("clients.crl", r.authority.List())
		text = append(text, fmt.Sprintf(tlsText, r.secure))
	}
	r.put("operator.jsonnet", fmt.Appendf(nil, fileText, strings.Join(text, "")))
	address := standin.Free()
	r.put("config.json", []byte(configure(standin.Config(address, changes.Address, "", 1000))))
	read := func() (*service.Config, error) {
		return service.ReadConfig(func(name string) string {
			return map[string]string{"PROXY_CONFIG": filepath.Join(r.dir, "config.json")}[name]
		})
	}
	c := need.Of(read())(t)
	e := need.Of(Read(filepath.Join(r.dir, "operator.jsonnet"), c.Name, c.Services(), c.Repeats(), 0))(t)
	r.Dispatcher = rigs.Start(t, address, func(log io.Writer, signals <-chan os.Signal) error {
		return service.Run(c, e, zerolog.New(log), signals, read)
	})
	return r
}

// certify has the authority issue the server's certificate.
func (r *rig) certify(name string) {
	chain, key := r.authority.Issue(name, "", hence())
	r.put("server.pem", chain)
	r.put("server.key", key)
}

func hence() time.Time { return time.Now().Add(time.Hour) }

// count is how often its log says something.
func (r *rig) count(text string) int { return strings.Count(r.Out.String(), text) }

func (r *rig) put(name string, raw []byte) {
	path := filepath.Join(r.dir, name)
	require.NoError(r, os.WriteFile(path+".new", raw, 0o600))
	require.NoError(r, os.Rename(path+".new", path))
}

// key makes a key, or gives one another state, and writes the set.
func (r *rig) key(id string, state admission.KeyState) {
	if r.keys[id] == nil {
		r.keys[id] = need.Of(token.NewKey(id, "EdDSA"))(r)
	}
	r.keys[id].State = state
	var open []*token.Key
	for _, k := range r.keys {
		open = append(open, k.Public())
	}
	r.put("keys.json", need.Of(token.WriteSet(open))(r))
}

// reload has the dispatcher read its files again, and waits until its log has a line of that.
func (r *rig) reload(line string) {
	before := r.count(line)
	r.Signals <- syscall.SIGHUP
	need.Soon(r, func() bool { return r.count(line) > before })
}

const again, old = "callers read again", "the old one stays"

// turn gives a key another state, and has that read.
func (r *rig) turn(id string, state admission.KeyState) { r.key(id, state); r.reload(again) }

func (r *rig) token(key, tenant, subject string) string {
	now := float64(time.Now().Unix())
	return need.Of(r.keys[key].Sign(admission.Claims{Subject: subject, Tenant: tenant, ID: subject, IssuedAt: now, Expiry: now + 60}))(r)
}

// send sends a new GET with a token, "" for none, of which the open ids differ.
func send(t testing.TB, c *standin.Client, token string, changes ...string) {
	need.Sent(t, c, rigs.Fresh(append(changes, "token", token, "budget", "5000")...)...)
}

// word is the kind of the next answer and its reason.
func word(t testing.TB, c *standin.Client) string {
	got := need.Of(c.Read())(t)
	return strings.TrimSpace(got.Kind + " " + got.Fields["reason"])
}

func ask(t testing.TB, c *standin.Client, token string) string { send(t, c, token); return word(t, c) }

func (r *rig) dialTLS(c *tls.Config) *standin.Client {
	client := need.Of(standin.DialTLS(r.secure, c))(r)
	r.Cleanup(func() { _ = client.Conn.Close() })
	return client
}

// till is a client's certificate of the counter.
func (r *rig) till(n int) *tls.Config { return r.tillUntil(n, hence()) }

func (r *rig) tillUntil(n int, end time.Time) *tls.Config {
	return r.authority.Client(fmt.Sprint("till-", n), fmt.Sprint("spiffe://x/counter/", n), end)
}

func TestWhoIsCalling(t *testing.T) {
	r := newRig(t, false)
	c, good := r.Dial(), r.token("k1", "counter", "till-4")
	over := need.Of(r.keys["k1"].Sign(admission.Claims{Subject: "x", Tenant: "counter", Expiry: float64(time.Now().Unix() - 31)}))(t)
	for _, tt := range []struct{ name, token, want string }{
		{"a good token", good, "served"},
		{"the same again", good, "served"},
		{"a tampered one", good[:len(good)-6] + "AAAAAA", "failed token"},
		{"an ended one", over, "failed expired"},
		{"none", "", "failed unknown"},
		{"one with no right", r.token("k1", "reseller", "x"), "failed denied"},
		{"of a tenant that there is not", r.token("k1", "else", "x"), "failed unknown"},
		{"no token at all", "x", "failed token"},
		{"a long one", strings.Repeat("A", 100000), "failed token"},
	} {
		assert.Equal(t, tt.want, ask(t, c, tt.token), tt.name)
	}
	got := need.Of(c.Identify("x"))(t)
	assert.Equal(t, []string{"identify", "failed", "token"}, []string{got.Method, got.Kind, got.Fields["reason"]})
	got = need.Of(c.Identify(good))(t)
	assert.Equal(t, []string{"identify", "served"}, []string{got.Method, got.Kind})
	assert.Equal(t, "served", ask(t, c, ""), "named by its connection")
	assert.Equal(t, "failed token", ask(t, c, "x"), "a token of the GET's own goes first")
	r.put("revoked.json", []byte(`{"subjects":["till-4"]}`))
	r.reload(again)
	assert.Equal(t, "failed token", ask(t, c, ""), "revoked, on an open connection")
	assert.Zero(t, r.count(good), "no token is in the log")
}

func TestAShareThatIsUsedUpIsShed(t *testing.T) {
	r := newRig(t, false)
	wait, c, small := r.hosts.Hold(), r.Dial(), r.token("k1", "small", "x")
	for range 2 {
		send(t, c, small)
	}
	got := need.Of(c.Read())(t)
	assert.Equal(t, []any{int32(2), "refused"}, []any{got.Seq, got.Kind})
	close(wait)
	got = need.Of(c.Read())(t)
	assert.Equal(t, []any{int32(1), "served"}, []any{got.Seq, got.Kind})
	assert.Equal(t, "served", ask(t, c, small))
}

// load has clients ask steadily with tokens of their own.
func (r *rig) load(clients int, token func(i int) string) (end func() map[string]int) {
	return rigs.Load(need.Clients(r, r.Address, clients), func(client, n int) []string {
		time.Sleep(time.Millisecond)
		return []string{"token", token(client + n), "budget", "5000"}
	})
}

// TestKeysRotateUnderSteadyLoad has three rotations, each with tokens of the old and the new key mixed, and asks by a
// revoked key all the while: no valid caller is refused, no revoked one is returned after the window.
func TestKeysRotateUnderSteadyLoad(t *testing.T) {
	r := newRig(t, false)
	var signed atomic.Pointer[[]string] // tokens in use
	r.turn("bad", admission.Active)
	bad, before := r.token("bad", "counter", "thief"), r.token("k1", "counter", "till")
	signed.Store(&[]string{before})
	steady := r.load(8, func(i int) string { now := *signed.Load(); return now[i%len(now)] })
	pass := func() { time.Sleep(50 * time.Millisecond) }
	pass()
	assert.Equal(t, "served", ask(t, r.Dial(), bad))
	r.turn("bad", admission.Revoked) // from here on the window, of which nothing is needed
	thief := r.load(2, func(int) string { return bad })
	for i := 2; i <= 4; i++ {
		id, last := fmt.Sprint("k", i), fmt.Sprint("k", i-1)
		r.turn(id, admission.Announced)
		r.turn(id, admission.Active)
		fresh := r.token(id, "counter", "till")
		signed.Store(&[]string{before, fresh})
		pass()
		r.turn(last, admission.Retiring)
		pass()
		signed.Store(&[]string{fresh})
		pass() // those with an old token in hand are done
		r.turn(last, admission.Revoked)
		assert.Equal(t, "failed token", ask(t, r.Dial(), before))
		before = fresh
	}
	good, refused := steady(), thief()
	assert.Greater(t, good["served"], 500)
	assert.Len(t, good, 1, "no valid caller is refused: %v", good)
	assert.Greater(t, refused["failedtoken"], 50)
	assert.Len(t, refused, 1, "no revoked one is returned: %v", refused)
}

func TestFilesThatCannotBeUsedLeaveTheOldOnesInForce(t *testing.T) {
	r := newRig(t, true)
	c, good := r.Dial(), r.token("k1", "counter", "till")
	try := func(name string, bad func(whole []byte) []byte) {
		whole := need.Of(os.ReadFile(filepath.Join(r.dir, name)))(t)
		r.put(name, bad(whole))
		r.reload(old)
		assert.Equal(t, "served", ask(t, c, good), name)
		r.put(name, whole)
	}
	for _, name := range []string{"operator.jsonnet", "keys.json", "server.pem", "clients.crl", "clients.pem"} {
		try(name, func(whole []byte) []byte { return whole[:len(whole)/2] })
	}
	for name, text := range map[string]string{"revoked.json": `{"tokens":[`, "keys.json": `{"keys":[]}`, "operator.jsonnet": `{}`} {
		try(name, func([]byte) []byte { return []byte(text) })
	}
	r.reload(again)
	assert.Equal(t, 8, r.count(old), "one warning each")
}

func TestACertificateRevokedWhileItsConnectionIsOpen(t *testing.T) {
	r := newRig(t, true)
	other, config := r.dialTLS(r.till(1)), r.till(2)
	config.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	idle, busy, stuck := r.dialTLS(config), r.dialTLS(config), r.dialTLS(config)
	for _, c := range []*standin.Client{other, idle, busy, stuck} {
		require.Equal(t, "served", ask(t, c, ""))
	}
	wait := r.hosts.Hold()
	for _, c := range []*standin.Client{busy, stuck} {
		send(t, c, "")
	}
	need.Soon(t, func() bool { n, _ := r.hosts.Count(); return n == 6 }, "they are under way")
	r.put("clients.crl", r.authority.Revoke())
	began := time.Now()
	r.reload(again)
	_, err := idle.Read()
	assert.Error(t, err, "with nothing open it is closed at once")
	assert.Equal(t, "failed certificate", ask(t, busy, ""), "new ones are refused")
	wait <- true // one of the two under way is answered, the other is not before the window is over
	ends, kinds := make(chan error, 2), make(chan string, 2)
	for _, c := range []*standin.Client{busy, stuck} {
		go func() {
			got, err := c.Read()
			if err == nil {
				kinds <- got.Kind
				_, err = c.Read()
			}
			ends <- err
		}()
	}
	assert.Error(t, <-ends, "closed")
	assert.Error(t, <-ends, "closed")
	assert.ElementsMatch(t, []string{"served", "failed"}, []string{<-kinds, <-kinds}, "each under way has one answer")
	assert.Less(t, time.Since(began), 1200*time.Millisecond, "within the window")
	close(wait)
	r.hosts.Free()
	resumed := r.dialTLS(config)
	assert.True(t, resumed.Conn.(*tls.Conn).ConnectionState().DidResume)
	assert.Equal(t, "failed certificate", ask(t, resumed, ""), "a resumed session is judged like a new one")
	assert.Equal(t, "served", ask(t, other, ""), "the connections of others go on")
}

// A certificate that comes to its end while its connection is open: what is under way is answered, new GETs are refused,
// and the connection goes within the window.
func TestACertificateThatEndsWhileItsConnectionIsOpen(t *testing.T) {
	r := newRig(t, true)
	text := strings.Replace(fmt.Sprintf(fileText, fmt.Sprintf(tlsText, r.secure)), "window: '1s',", "window: '1s', skew: '0s',", 1)
	r.put("operator.jsonnet", []byte(text))
	r.reload(again)
	end := time.Now().Add(2 * time.Second).Truncate(time.Second)
	busy := r.dialTLS(r.tillUntil(1, end))
	require.Equal(t, "served", ask(t, busy, ""))
	wait := r.hosts.Hold()
	send(t, busy, "")
	time.Sleep(time.Until(end.Add(50 * time.Millisecond)))
	assert.Equal(t, "failed certificate", ask(t, busy, ""), "new ones are refused")
	close(wait)
	assert.Equal(t, "served", word(t, busy), "what was taken before stays taken")
	_, err := busy.Read()
	assert.Error(t, err, "closed")
	assert.Less(t, time.Since(end), 1500*time.Millisecond, "within the window")
}

func TestCertificatesOfAServerChangeWithNoConnectionDropped(t *testing.T) {
	r := newRig(t, true)
	config := r.till(1)
	before := r.dialTLS(config)
	r.certify("server-2")
	r.reload(again)
	after := r.dialTLS(config)
	assert.Equal(t, "server-2", after.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Subject.CommonName)
	without := r.dialTLS(&tls.Config{RootCAs: config.RootCAs})
	aged := r.dialTLS(&tls.Config{RootCAs: config.RootCAs, Certificates: config.Certificates, MaxVersion: tls.VersionTLS12})
	for _, tt := range []struct {
		name string
		c    *standin.Client
		want string
	}{{"before", before, "served"}, {"after", after, "served"}, {"no certificate", without, "failed unknown"}, {"by TLS 1.2", aged, "served"}} {
		assert.Equal(t, tt.want, ask(t, tt.c, ""), tt.name)
	}
	stranger := standin.NewAuthority("stranger").Client("till-1", "spiffe://x/counter/1", hence())
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
	assert.Equal(t, "served", ask(t, before, ""))
}

// TestAReloadAtEachMomentOfADrain has keys change before, while and after clients may still come.
func TestAReloadAtEachMomentOfADrain(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, false)
			c, good, wait := r.Dial(), r.token("k1", "counter", "till"), r.hosts.Hold()
			send(t, c, good)
			need.Soon(t, func() bool { n, _ := r.hosts.Count(); return n == 1 })
			r.Signals <- syscall.SIGTERM
			time.Sleep(after)
			r.turn("k1", admission.Revoked)
			assert.NotEqual(t, "served", ask(t, c, good), "revoked, or too late")
			close(wait)
			got := need.Of(c.Read())(t)
			assert.Equal(t, []any{int32(1), "served"}, []any{got.Seq, got.Kind}, "what was taken is answered")
		})
	}
}

// TestAReloadAndSIGTERMWithGETsInEveryShard has the file ask for more shards and fewer, and the dispatcher end, while each shard has GETs under way.
func TestAReloadAndSIGTERMWithGETsInEveryShard(t *testing.T) {
	r := newRig(t, false, "cores: { count: 4 },")
	c, good, wait := r.Dial(), r.token("k1", "counter", "till"), r.hosts.Hold()
	for i := range 32 {
		send(t, c, good, "obj", fmt.Sprintf("%016x", i))
	}
	for _, cores := range []string{"cores: { count: 4, shards: 6 },", "cores: { count: 4, shards: 2 },", ""} {
		r.put("operator.jsonnet", fmt.Appendf(nil, fileText, cores))
		r.reload("configuration read again")
	}
	assert.Equal(t, 2, r.count(`"message":"shards"`))
	assert.Equal(t, 1, r.count("is changed by a restart alone"))
	r.Signals <- syscall.SIGTERM
	time.Sleep(50 * time.Millisecond)
	close(wait)
	for range 32 {
		assert.Equal(t, "served", word(t, c))
	}
	r.Over()
	assert.GreaterOrEqual(t, r.count(`"message":"counters"`), 3, "of each shard that there is, and their sum")
	assert.Equal(t, 1, r.count(`"GETs":32,`))
}

// Proxies that ask, by the operator's file, over TLS and with callers: a proxy's token names the caller, its certificate the
// proxy; a drain ends it all.
func TestProxiesThatAsk(t *testing.T) {
	address := standin.Free()
	r := newRig(t, true, fmt.Sprintf(`proxies: { listen: %q, decide: '2s', tls: { certificate: 'server.pem', key: 'server.key', authorities: 'clients.pem', required: true },
		paths: [{ match: '/clips/(?P<object>[0-9a-f]{16})/(?P<part>[0-9]+)', service: 'segment', budget: '5s' }] },`, address))
	config := r.authority.Client("edge-1", "spiffe://x/edge/1", hence())
	config.ServerName = "127.0.0.1"
	p := need.Of(proxy.Dial(address, credentials.NewTLS(config)))(t)
	defer p.Close()
	p.Cache = func(host string, _ map[string]string) proxy.Answer {
		assert.Equal(t, r.hosts.All[0].Address, host)
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
		r.reload(again)
	}
	stop.Store(true)
	all.Wait()
	plain := need.Of(proxy.Dial(address, nil))(t)
	defer plain.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.Error(t, plain.Do(ctx, "/clips/7f3a9c21e0b4d655/3", proxy.None).Err, "TLS alone")
}
