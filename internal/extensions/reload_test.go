package extensions

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/admission"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

// moves has the platform's configuration name another change log, which tells of the host that there is, and gives that log.
func (r *rig) moves() *standin.ChangeLog {
	changes := need.Of(standin.ListenChangeLog("127.0.0.1:0"))(r)
	r.Cleanup(changes.Close)
	changes.Push(standin.List(1, true, "s-1 "+r.hosts.All[0].Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING"))
	r.put("config.json", []byte(standin.Config(r.Address, changes.Address, "", 1000)))
	return changes
}

// A fault in the operator's file, found by the SIGHUP that moves the change log: guards against a dispatcher that goes on asking the old address, and
// so serves what was purged and sends to hosts that drain. The old file stays in force whole, and one line names what is at fault.
func TestAFaultInTheOperatorsFileHoldsBackNothingOfThePlatform(t *testing.T) {
	const good = "retries: { share: 0.1, floor: '5/s' },"
	for name, tt := range map[string]struct{ text, key string }{
		"a unit left off a number":              {"retries: { share: 0.1, floor: 5 },", "retries.floor"},
		"an unknown key":                        {good + " retry: {},", "retry"},
		"an include loop":                       {good + " joins: (import 'operator.jsonnet').joins,", "operator.jsonnet"},
		"sound, but a listener by restart":      {good + fmt.Sprintf(" tls: { listen: %q, certificate: 'server.pem', key: 'server.key' },", standin.Free()), "tls"},
		"sound, but a new front by restart":     {good + fmt.Sprintf(" proxies: { listen: %q, paths: [{ match: '/(?P<object>.*)', service: 'segment', budget: '1s' }] },", standin.Free()), "proxies"},
		"two that only a restart puts in force": {good + fmt.Sprintf(" proxies: { listen: %q, paths: [{ match: '/(?P<object>.*)', service: 'segment', budget: '1s' }] }, fleet: { listen: %q },", standin.Free(), standin.Free()), "proxies, fleet"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, false, good)
			r.authority = standin.NewAuthority("ours")
			r.certify("server")
			c, token := r.Dial(), r.token("k1", "counter", "till")
			r.put("operator.jsonnet", fmt.Appendf(nil, fileText, tt.text))
			moved := r.moves()
			r.reload("configuration read again")
			need.Soon(t, func() bool { return len(moved.Asked()) > 0 }, "the new change log is asked")
			assert.Equal(t, 1, r.count(old), "one warning")
			assert.Contains(t, r.Out.String(), tt.key)
			assert.Equal(t, 1, r.count(`"changelogMoved":true`))
			assert.Equal(t, "served", ask(t, c, token), "callers are asked by the old file")
			assert.Equal(t, "failed unknown", ask(t, c, ""))
			r.put("operator.jsonnet", fmt.Appendf(nil, fileText, good))
			r.turn("k1", admission.Revoked)
			assert.Equal(t, "failed token", ask(t, c, token), "a sound file is in force at once")
		})
	}
}

// A platform's configuration that can't be used does not keep a key that was revoked in force.
func TestAFaultOfThePlatformHoldsBackNothingOfTheOperators(t *testing.T) {
	r := newRig(t, false)
	c, token := r.Dial(), r.token("k1", "counter", "till")
	assert.Equal(t, "served", ask(t, c, token))
	r.put("config.json", []byte("{"))
	r.turn("k1", admission.Revoked)
	assert.Equal(t, "failed token", ask(t, c, token))
	need.Soon(t, func() bool { return r.count(old) == 1 }, "the platform's file is read again for a second, and then left")
	assert.Equal(t, 1, r.count(again), "the operator's was read once")
}

// standStill has reading the operator's file stand still, as on a disk that does not answer, until its end is written.
func (r *rig) standStill() (path string) {
	path = filepath.Join(r.dir, "operator.jsonnet")
	require.NoError(r, syscall.Mkfifo(path+".new", 0o600))
	require.NoError(r, os.Rename(path+".new", path))
	return path
}

// An operator's file whose reading does not end, found by the SIGHUP that moves the change log: guards against a dispatcher that follows no move and
// takes no signal meanwhile.
func TestAReadingOfTheOperatorsFileThatStandsStillHoldsBackNothing(t *testing.T) {
	r := newRig(t, false)
	c, token := r.Dial(), r.token("k1", "counter", "till")
	path := r.standStill()
	moved := r.moves()
	r.Signals <- syscall.SIGHUP
	need.Soon(t, func() bool { return len(moved.Asked()) > 0 })
	need.Soon(t, func() bool { return r.count("still being read") == 1 && r.count("configuration read again") == 1 })
	moved = r.moves()
	r.reload("configuration read again")
	need.Soon(t, func() bool { return len(moved.Asked()) > 0 }, "the next signal is taken, too")
	assert.Equal(t, "served", ask(t, c, token), "the old file is in force")
	pipe := need.Of(os.OpenFile(path, os.O_WRONLY, 0))(t)
	r.put("operator.jsonnet", fmt.Appendf(nil, fileText, ""))
	assert.Zero(t, r.count(again))
	_, err := fmt.Fprintf(pipe, fileText, "")
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	need.Soon(t, func() bool { return r.count(again) == 2 }, "what was read, and what the second signal asked for")
	assert.Zero(t, r.count("can't be used"))
	assert.Equal(t, 1, r.count("still being read"), "told once")
}

// SIGTERM while the operator's file is read without end: guards against a drain that does not begin.
func TestADrainWhileTheOperatorsFileIsRead(t *testing.T) {
	r := newRig(t, false)
	path := r.standStill()
	r.Signals <- syscall.SIGHUP
	need.Soon(t, func() bool { return r.count("still being read") == 1 })
	r.End()
	assert.Equal(t, 1, r.count(`"message":"drained"`))
	pipe := need.Of(os.OpenFile(path, os.O_WRONLY, 0))(t)
	require.NoError(t, pipe.Close())
}
