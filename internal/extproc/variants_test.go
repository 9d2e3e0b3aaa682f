package extproc

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pure "elderwall/fleet/variants"
	"elderwall/internal/standin/proxy"
	"elderwall/internal/variants"
)

// later is a stage past the time in which copies are warmed.
func declared(t *testing.T, r *rig) {
	one := pure.Service{Classes: []string{"tv", "phone"}, Proof: pure.ByDigest, Witnesses: 1, Repeats: true, Fresh: math.Inf(1),
		Presume: &pure.Presumed{Objects: 1, Checks: 1e-6}}
	stage, err := variants.New(variants.Settings{Module: pure.Settings{Services: []pure.Service{one}, Objects: 10, Seed: 3, Self: "d1"}, Fields: []string{""}})
	require.NoError(t, err)
	same := func(c int) pure.Answer {
		return pure.Answer{Object: pure.Object{Object: 99}, Class: c, Host: 1, Proof: 5}
	}
	stage.Learn(1, []pure.Fact{{Object: same(0).Object, Class: 0, Witness: "d2/1", Proof: 5}, {Object: same(1).Object, Class: 1, Witness: "d2/1", Proof: 5}})
	r.handler.Variants = stage
}

// A proxy is told which variant to ask for; a copy that is another's than the client's own does not go out, and the next route is its own.
func TestVariantsOfProxies(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Rules.Devices = map[string]string{"segment": "device"} })
	declared(t, r)
	var asked []string
	digest := map[string]string{"tv": "a", "phone": "a"}
	r.answer = func(_ string, h map[string]string) proxy.Answer {
		asked = append(asked, h["x-elderwall-variant"])
		assert.NotContains(t, h, "if-none-match", "a copy may be another class's")
		return proxy.Answer{Status: 200, Headers: map[string]string{"repr-digest": digest[h["x-elderwall-variant"]], "age": "0"}}
	}
	get := func(class string) {
		o := r.one(proxy.None, "device", class, "if-none-match", "4be0c1927d55a6f3", "x-elderwall-variant", "forged")
		require.NoError(t, o.Err)
		assert.Equal(t, 200, o.Status)
	}
	for range 300 {
		get("phone")
	}
	assert.Contains(t, asked, "tv", "presumed to be the same, as another object bore out")
	asked = nil
	digest["tv"] = "b"
	for range 300 {
		if get("phone"); r.Counts.Turned.Load() > 0 {
			break
		}
	}
	assert.Equal(t, []string{"tv", "phone"}, asked[len(asked)-2:], "the contrary copy does not go out")
	r.quiet()
}
