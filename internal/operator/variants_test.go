package operator

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pure "elderwall/fleet/variants"
	"elderwall/internal/front"
	"elderwall/internal/standin/need"
)

func TestVariants(t *testing.T) {
	text, err := os.ReadFile("../../examples/variants.jsonnet")
	require.NoError(t, err)
	c := need.Of(decode("f", string(text), services))(t)
	v := c.Variants
	assert.Equal(t, pure.Service{Classes: []string{"tv", "phone", "car"}, Proof: pure.ByTag, Witnesses: 2, Repeats: true, Fresh: 600,
		Presume: &pure.Presumed{Objects: 200, Checks: 0.01}}, v.Module.Services[0])
	assert.Empty(t, v.Module.Services[1].Classes)
	assert.Equal(t, []string{"dev", ""}, v.Fields)
	assert.NoError(t, v.Repeatable(services, []bool{true, false}))
	assert.ErrorContains(t, v.Repeatable(services, []bool{false, true}), "fleet.variants.services.segment: its GETs are tokened or non-idempotent")
	assert.Equal(t, []string{"device"}, v.Devices.Fields)
	assert.Equal(t, front.Device{Classes: map[string]string{"tv": "tv", "phone": "phone", "car": "car"}}, v.Devices.By["segment"])

	const good = `classes: ['a', 'b'], field: 'Dev', host_field: 'dev', proof: 'body'`
	file := func(more string) string {
		return `{fleet: {listen: '127.0.0.1:5100', variants: {services: {segment: {` + good + more + `}}}}}`
	}
	c = need.Of(decode("f", file(`, fresh: 'until purged'`), services))(t)
	assert.True(t, math.IsInf(c.Variants.Module.Services[0].Fresh, 1))
	c = need.Of(decode("f", strings.Replace(strings.TrimSuffix(file(""), "}")+`, proxies: {listen: '127.0.0.1:1', paths: [`+onePath+`]}}`, "'body'", "'tag'", 1), services))(t)
	assert.Equal(t, map[string]string{"segment": "dev"}, c.Proxies.Rules.Devices)
	c = need.Of(decode("f", `{fleet: {listen: '127.0.0.1:5100'}}`, services))(t)
	assert.Nil(t, c.Variants)

	bad := file(`, witnesses: 9, fresh: '-1s', presume: {checks: 2}, other: 1`)
	for from, to := range map[string]string{"['a', 'b']": "['a,b']", "'Dev'": "'got'", "'dev'": "'inm'", "'body'": "'hope'"} {
		bad = strings.Replace(bad, from, to, 1)
	}
	_, err = decode("f", bad, services)
	for _, want := range []string{"witnesses", "fresh", "presume.checks", "segment.other", "two at least", "must be letters", "segment.field", "segment.host_field",
		"segment.proof"} {
		assert.ErrorContains(t, err, want, "all at once")
	}
	_, err = decode("f", strings.Replace(file(""), "segment", "nothing", 1), services)
	assert.ErrorContains(t, err, "no delivery service")
	_, err = decode("f", `{fleet: {listen: '127.0.0.1:5100', variants: {}}}`, services)
	assert.ErrorContains(t, err, "services: is needed")
}
