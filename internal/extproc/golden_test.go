package extproc

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	procv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/proto"

	"elderwall/internal/call"
	"elderwall/internal/goldentest"
	"elderwall/internal/standin/need"
)

func goldenRules(routing bool) *Rules {
	return &Rules{
		Prefix: "x-elderwall-", Routing: routing, Devices: map[string]string{"segment": "device"},
		Paths: []Path{
			{Pattern: regexp.MustCompile(`^(?:/clips/(?P<object>[0-9a-f]{16})/(?P<part>[0-9]+)(?:/g(?P<group>[0-9]+))?)$`), Service: "segment", Budget: 7},
			{Pattern: regexp.MustCompile(`^(?:/pages/(?P<object>.*))$`), Service: "page", Budget: 1.5},
		},
	}
}

// goldenRequests are headers of requests, each as "name: value" by line.
var goldenRequests = []string{
	":path: /clips/7f3a9c21e0b4d655/3", ":path: /clips/7f3a9c21e0b4d655/3/g17\n:method: HEAD", ":path: /clips/7f3a9c21e0b4d655/65536",
	":path: /pages/7f3a9c21e0b4d655", ":path: /pages/any name", ":path: /pages/", ":path: /other", "", ":path: /pages/a\n:method: POST",
	":path: /pages/a\xff", ":path: /pages/a\n:method: GET\nX-Envoy-Expected-Rq-Timeout-Ms: 250.5",
	":path: /pages/a\nx-elderwall-budget-ms: 100\nx-envoy-expected-rq-timeout-ms: 250", ":path: /pages/a\nx-elderwall-budget-ms: 9999",
	":path: /pages/a\nx-elderwall-budget-ms: -1", ":path: /pages/a\nx-elderwall-budget-ms: NaN", ":path: /pages/a\nif-none-match: 4be0c1927d55a6f3",
	":path: /pages/a\nif-none-match: \"4be0\"", ":path: /pages/a\nauthorization: Bearer abc", ":path: /pages/a\nauthorization: Basic abc",
	":path: /pages/a\nauthorization: bearer ", ":path: /pages/a\nx-elderwall-get: 00000000000000ff\nx-elderwall-unsent: 1",
	":path: /pages/a\nx-elderwall-get: xyz\nx-elderwall-unsent: 0", ":path: /clips/7f3a9c21e0b4d655/3\ndevice: tv", ":path: /pages/a\ndevice: tv",
	":path: /pages/a\n:path: /pages/b", ":path: /pages/" + strings.Repeat("x", longestPath),
	":path: /pages/a\nx: " + strings.Repeat("x", longestHead), ":path: /pages/a" + strings.Repeat("\nx: y", mostHeaders),
}

func goldenHeaders(text string) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for i, line := range strings.Split(text, "\n") {
		name, value, _ := strings.Cut(line, ": ")
		h := &corev3.HeaderValue{Key: name, RawValue: []byte(value)}
		if i == 1 { // in the other of its two fields
			h.Value, h.RawValue = value, nil
		}
		m.Headers = append(m.Headers, h)
	}
	return m
}

func TestGoldenRequestsAsRead(t *testing.T) {
	var tr goldentest.Transcript
	for _, routing := range []bool{true, false} {
		for _, text := range goldenRequests {
			asked, err := goldenRules(routing).Read(goldenHeaders(text))
			tr.Values(fmt.Sprintf("%.200q, routing: %v", text, routing), asked)
			tr.Rejected(err)
		}
	}
	tr.Check(t, "requests.golden")
}

// goldenResponse adds the bytes of a response.
func goldenResponse(t *testing.T, tr *goldentest.Transcript, name string, response *procv3.ProcessingResponse) {
	if response == nil {
		tr.Values(name, nil)
		return
	}
	tr.Bytes(name, need.Of(proto.MarshalOptions{Deterministic: true}.Marshal(response))(t))
}

// byName sorts headers: those that are only there or not come in any order.
func byName(all []pair) []pair {
	slices.SortFunc(all, func(a, b pair) int { return cmp.Compare(a.name, b.name) })
	return all
}

func TestGoldenResponses(t *testing.T) {
	rules, now := goldenRules(true), time.UnixMilli(1764576000123)
	var full call.Route
	goldentest.Fill(&full)
	var tr goldentest.Transcript
	for _, route := range []*call.Route{{}, &full, {Source: "s", MaxAge: 0.0001}} {
		set := byName(rules.routeHeaders(route, 0xff, 1.5, now))
		for _, p := range set {
			tr.Values("header", p.name, p.value)
		}
		goldenResponse(t, &tr, "sends", rules.sends(set, false))
		goldenResponse(t, &tr, "sends, with metadata and more to remove", rules.sends(set, true, "authorization"))
	}
	for _, f := range []*final{
		{status: 200, body: []byte("body")}, {status: 304}, {status: 503, wait: 1250, reason: "share"}, {status: 503, wait: 1}, {status: 502, reason: "late"},
	} {
		goldenResponse(t, &tr, "final", rules.immediate(f))
	}
	goldenResponse(t, &tr, "goes on", continueResponse(mutation(nil, "age")))
	for _, m := range []*procv3.ProcessingRequest{
		{Request: &procv3.ProcessingRequest_RequestBody{}},
		{Request: &procv3.ProcessingRequest_ResponseBody{}},
		{Request: &procv3.ProcessingRequest_RequestTrailers{}},
		{Request: &procv3.ProcessingRequest_ResponseTrailers{}},
		{Request: &procv3.ProcessingRequest_RequestHeaders{}},
		{},
	} {
		goldenResponse(t, &tr, "passed on", passOn(m))
	}
	tr.Check(t, "responses.golden")
}

func TestGoldenRepliesAsRead(t *testing.T) {
	var tr goldentest.Transcript
	for _, text := range []string{
		":status: 200", ":status: 99", ":status: 1000", ":status: x", "", ":status: 304\nage: 12.5", ":status: 200\nage: -1",
		":status: 200\nage: x", ":status: 200\nx-elderwall-note: full", ":status: 200\nx-elderwall-note: mem",
		":status: 200\netag: \"4be0\"\nrepr-digest: sha-256=:x:\nx-elderwall-version: 12", ":status: 200\netag: W/\"4be0\"",
		":status: 200\netag: \"\"\nx-elderwall-version: -1",
	} {
		for _, devices := range []map[string]string{nil, {"segment": "device"}} {
			rules := goldenRules(true)
			rules.Devices = devices
			r, err := rules.response(goldenHeaders(text))
			tr.Values(fmt.Sprintf("%q, devices: %v", text, devices != nil), r.reply, r.note, r.proofs)
			tr.Rejected(err)
		}
	}
	tr.Check(t, "replies.golden")
}
