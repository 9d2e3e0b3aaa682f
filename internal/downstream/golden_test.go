package downstream

import (
	"strings"
	"testing"

	"elderwall/core/admission"
	"elderwall/internal/goldentest"
	"elderwall/internal/thrift"
)

func goldenCall() thrift.Call {
	return thrift.Call{
		Method: thrift.Process, Name: []byte("process"), Seq: 7, Body: []byte("b"), Service: []byte("segment"),
		ID: []byte("9b1f03aa5c7e2d41"), Budget: []byte("60000"), Object: []byte("7f3a9c21e0b4d655"), Part: []byte("3"),
		Group: []byte("17"), Tag: []byte("4be0c1927d55a6f3"), Token: []byte("key-1"),
	}
}

func TestGoldenGETsAsRead(t *testing.T) {
	var tr goldentest.Transcript
	for _, c := range []struct {
		name   string
		change func(c *thrift.Call)
	}{
		{"all fields", func(*thrift.Call) {}},
		{"no tag, token and body", func(c *thrift.Call) { c.Tag, c.Token, c.Body = nil, nil, nil }},
		{"nothing", func(c *thrift.Call) { *c = thrift.Call{} }},
		{"part of two digits", func(c *thrift.Call) { c.Part = []byte("03") }},
		{"part with a sign", func(c *thrift.Call) { c.Part = []byte("+3") }},
		{"part below 0", func(c *thrift.Call) { c.Part = []byte("-1") }},
		{"greatest part", func(c *thrift.Call) { c.Part = []byte("2147483647") }},
		{"part too great", func(c *thrift.Call) { c.Part = []byte("2147483648") }},
		{"greatest group", func(c *thrift.Call) { c.Group = []byte("255") }},
		{"group too great", func(c *thrift.Call) { c.Group = []byte("256") }},
		{"no budget", func(c *thrift.Call) { c.Budget = []byte("0") }},
		{"least budget", func(c *thrift.Call) { c.Budget = []byte("1") }},
		{"budget with a fraction", func(c *thrift.Call) { c.Budget = []byte("1.5") }},
		{"id in capitals", func(c *thrift.Call) { c.ID = []byte("9B1F03AA5C7E2D41") }},
		{"id too long", func(c *thrift.Call) { c.ID = append(c.ID, '0') }},
		{"object too short", func(c *thrift.Call) { c.Object = c.Object[1:] }},
		{"empty tag", func(c *thrift.Call) { c.Tag = []byte{} }},
		{"longest body", func(c *thrift.Call) { c.Body = make([]byte, 240_000) }},
		{"body too long", func(c *thrift.Call) { c.Body = make([]byte, 240_001) }},
		{"empty token", func(c *thrift.Call) { c.Token = []byte{} }},
		{"longest token", func(c *thrift.Call) { c.Token = []byte(strings.Repeat("x", 64)) }},
		{"token too long", func(c *thrift.Call) { c.Token = []byte(strings.Repeat("x", 65)) }},
		{"token with a comma", func(c *thrift.Call) { c.Token = []byte("a,b") }},
		{"token with a sign of a field", func(c *thrift.Call) { c.Token = []byte("a=b") }},
		{"token with a space", func(c *thrift.Call) { c.Token = []byte("a b") }},
		{"token with another letter", func(c *thrift.Call) { c.Token = []byte("\u00e4") }},
	} {
		for _, caller := range []*admission.Conn{nil, {}} {
			message := goldenCall()
			c.change(&message)
			get := read(message, caller)
			err, body := get.Err, len(get.Body)
			get.Err, get.Conn, get.Body = nil, nil, nil
			tr.Values(c.name, caller != nil, body, get)
			tr.Rejected(err)
		}
	}
	tr.Check(t, "gets.golden")
}

func TestGoldenDevices(t *testing.T) {
	devices := Devices{
		Fields: []string{"device", "kind"},
		By:     map[string]Device{"segment": {Field: 1, Classes: map[string]string{"tv": "tv"}}, "page": {Classes: map[string]string{"car": "car"}}},
	}
	var tr goldentest.Transcript
	for _, service := range []string{"segment", "page", "other", ""} {
		for _, class := range []string{"tv", "car", ""} {
			message := thrift.Call{Service: []byte(service)}
			message.Also[0], message.Also[1] = []byte("car"), []byte(class)
			tr.Values(service+", "+class, devices.of(message))
		}
	}
	tr.Check(t, "devices.golden")
}
