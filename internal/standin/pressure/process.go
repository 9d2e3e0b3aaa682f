// Package pressure is a rig for clients and proxies that behave badly: a dispatcher as a real process with a platform's
// limits, between stand-in hosts, whose memory and descriptors are measured from outside.
package pressure

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
)

const (
	startsIn = 10 * time.Second
	killedIn = 5 * time.Second
)

// Front is a way in to a dispatcher.
type Front string

// The fronts.
const (
	Plain     Front = "plain"
	Secure    Front = "TLS"
	Routing   Front = "proxies, routing"
	Immediate Front = "proxies, immediate"
)

// Fronts is all of them.
var Fronts = []Front{Plain, Secure, Routing, Immediate}

// ForProxies reports whether proxies ask at the front.
func (f Front) ForProxies() bool { return f == Routing || f == Immediate }

// Options is how a dispatcher is started.
type Options struct {
	Front  Front
	Shards int    // below 2 it is one module
	Effect string // of the one class: safe, keyed or unsafe; "" for safe
	Limits standin.Limits
}

// Process is a dispatcher at work.
type Process struct {
	testing.TB
	Options
	Address string // of the front
	Hosts   *rig.Hosts
	Ended   chan struct{}

	plain     string
	authority *standin.Authority
	cmd       *exec.Cmd
	log       *os.File
}

// Build builds the program that has all fronts, and returns where it stands.
func Build(t testing.TB, dir string) string {
	binary := filepath.Join(dir, "elderwall-operator")
	out, err := exec.Command("go", "build", "-o", binary, "elderwall/cmd/elderwall-operator").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return binary
}

const (
	callersText = `callers: { window: '1s', tokens: { no_keys: true, audience: 'x' }, certificates: [{ name: 'uri:spiffe://x/*', tenant: 'all' }],
  roles: { all: [{ allow: {} }] }, tenants: { all: { roles: ['all'] } } },
  tls: { listen: %q, certificate: 'server.pem', key: 'server.key', authorities: 'clients.pem' },`
	proxiesText = `proxies: { listen: %q, mode: %q, decide: %q, paths: [{ match: '/clips/(?P<object>[0-9a-f]{16})/(?P<part>[0-9]+)', service: 'segment', budget: '1.5s' }] },`
)

// Start starts a dispatcher, which ends with the test.
func Start(t testing.TB, binary string, o Options) *Process {
	p := &Process{TB: t, Options: o, Hosts: rig.NewHosts(t, 2), Ended: make(chan struct{}), plain: standin.Free()}
	dir := t.TempDir()
	put := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	changes := need.Of(standin.ListenChangeLog("127.0.0.1:0"))(t)
	t.Cleanup(changes.Close)
	changes.Push(standin.List(1, true, "s-1 "+p.Hosts.All[0].Address+" std SERVING", "s-2 "+p.Hosts.All[1].Address+" std SERVING", "s-3 127.0.0.1:1 origin SERVING"))
	text := standin.Platform(p.plain, changes.Address, "", 1000, o.Limits)
	if o.Effect != "" {
		text = strings.Replace(text, `"effect":"safe"`, fmt.Sprintf(`"effect":%q`, o.Effect), 1)
	}
	config, operator := put("config.json", text), put("operator.jsonnet", "{"+p.front(put)+"}")
	args := []string{}
	if o.Shards > 1 {
		args = []string{"serve", "--cores", strconv.Itoa(o.Shards)}
	}
	p.log = need.Of(os.Create(filepath.Join(dir, "log")))(t)
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config, "ELDERWALL_OPERATOR="+operator)
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	go func() { _ = p.cmd.Wait(); close(p.Ended) }()
	t.Cleanup(p.end)
	require.Eventually(t, func() bool { return need.Ready(p.plain) && p.listens() }, startsIn, 10*time.Millisecond, "ready: %s", p.Log())
	return p
}

// front is what the operator's file says of the front.
func (p *Process) front(put func(name, text string) string) string {
	p.Address = p.plain
	if p.Front == Plain {
		return ""
	}
	p.Address = standin.Free()
	switch p.Front {
	case Secure:
		p.authority = standin.NewAuthority("ours")
		chain, key := p.authority.Issue("server", "", time.Now().Add(time.Hour))
		put("server.pem", string(chain))
		put("server.key", string(key))
		put("clients.pem", string(p.authority.PEM()))
		return fmt.Sprintf(callersText, p.Address)
	case Routing:
		return fmt.Sprintf(proxiesText, p.Address, "routing", "50ms")
	}
	return fmt.Sprintf(proxiesText, p.Address, "immediate", "1.5s")
}

func (p *Process) listens() bool {
	c, err := net.Dial("tcp", p.Address)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

func (p *Process) end() {
	_ = p.cmd.Process.Kill()
	select {
	case <-p.Ended:
	case <-time.After(killedIn):
	}
	_ = p.log.Close()
}

// Dial connects a client to the front; where that is TLS, with a certificate.
func (p *Process) Dial() (*standin.Client, error) {
	if p.Front == Secure {
		return standin.DialTLS(p.Address, p.TLS()) //nolint:wrapcheck // the stand-in's own error
	}
	return standin.Dial(p.Address) //nolint:wrapcheck // the stand-in's own error
}

// TLS is what a client with a certificate dials with.
func (p *Process) TLS() *tls.Config {
	return p.authority.Client("till-1", "spiffe://x/1", time.Now().Add(time.Hour))
}

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.Ended:
		return false
	default:
		return true
	}
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Log is what it has logged so far.
func (p *Process) Log() string {
	raw, _ := os.ReadFile(p.log.Name())
	return string(raw)
}

// Memory returns the resident memory of the process in MiB, now and at its peak.
func (p *Process) Memory() (now, peak float64) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		kib, _ := strconv.ParseFloat(words[1], 64)
		switch words[0] {
		case "VmRSS:":
			now = kib / 1024
		case "VmHWM:":
			peak = kib / 1024
		}
	}
	return now, peak
}

// Descriptors returns how many descriptors the process holds.
func (p *Process) Descriptors() int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(all)
}
