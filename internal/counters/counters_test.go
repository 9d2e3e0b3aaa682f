package counters

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// names is what the counters are called outside, in their order; metrics and logs are read by them.
var names = []string{
	"GETs", "Unusable", "Repeated", "GivenUp", "KeyMissing", "KeylessRepeats", "Returned", "Unchanged", "Shed", "Errored", "OverFleet", "NotNamed", "Denied", "OverShare",
	"OverLevel", "Unchecked", "SignatureChecks", "GateShed", "GateErrored", "Unsent", "Forwards", "Stopped", "Hit", "Valid", "None",
	"Full", "Fault", "OldCopy", "Late", "Unnamed", "Unreached", "PartlyWritten", "Unanswered", "AnswerCut", "Expired", "NoPlace", "MovedSlots",
	"HotItems", "Recalled", "Behind", "Overdue", "Rebuilt", "Lists", "Purges", "PurgesLearned", "SlowStarts", "SlowStartEjections", "SlowStartLosses", "ChangeLogPauses", "ConnectionWaits", "ClientConnections",
	"HostConnections", "Handshakes", "HostGaveWay", "DialsHeld", "Joined", "TookLead", "Rewritten", "Turned", "ProxyCalls",
	"ProxyPassed", "ProxyAgain", "ProxyUnknown", "ProxyLate", "ProxyRefused", "ProxyHeld", "GaveWay", "ClientBytesIn", "ClientBytesOut", "HostBytesIn",
}

func TestNames(t *testing.T) {
	var got []string
	all := reflect.TypeFor[Counters]()
	for i := range all.NumField() {
		f := all.Field(i)
		tag, tagged := f.Tag.Lookup("name")
		assert.True(t, tagged && tag != "", "%s has no name", f.Name)
		assert.NotContains(t, got, tag)
		got = append(got, tag)
	}
	assert.Equal(t, names, got)
}

func TestEachAndLogNameAll(t *testing.T) {
	var c Counters
	var out bytes.Buffer
	want := map[string]int64{}
	for i, n := range names {
		reflect.ValueOf(&c).Elem().Field(i).Addr().Interface().(*atomic.Int64).Store(int64(i + 1))
		want[n] = int64(i + 1)
	}
	assert.Equal(t, want, c.Each())

	c.Log(zerolog.New(&out))
	var keys []string
	values := map[string]int64{}
	in := json.NewDecoder(&out)
	_, err := in.Token()
	require.NoError(t, err)
	for in.More() {
		key, err := in.Token()
		require.NoError(t, err)
		value, err := in.Token()
		require.NoError(t, err)
		keys = append(keys, key.(string))
		if n, ok := value.(float64); ok {
			values[key.(string)] = int64(n)
		}
	}
	assert.Equal(t, slices.Concat([]string{zerolog.LevelFieldName}, names, []string{zerolog.MessageFieldName}), keys)
	assert.True(t, maps.Equal(want, values))
}
