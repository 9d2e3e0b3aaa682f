package extproc

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	procv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"elderwall/core/proxycall"
	"elderwall/internal/call"
)

// namespace is that of dynamic metadata.
const namespace = "elderwall"

type pair struct{ name, value string }

// mutation sets headers in place of any that a client sent, and removes others.
func mutation(set []pair, remove ...string) *procv3.HeaderMutation {
	m := &procv3.HeaderMutation{RemoveHeaders: remove}
	for _, p := range set {
		m.SetHeaders = append(m.SetHeaders, &corev3.HeaderValueOption{
			Header:       &corev3.HeaderValue{Key: p.name, RawValue: []byte(p.value)},
			AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD,
		})
	}
	return m
}

// routeHeaders says where a proxy is to send a forward, and until when.
func (r *Rules) routeHeaders(route *call.Route, id proxycall.ID, sendIn float64, now time.Time) []pair {
	all := []pair{
		{r.Prefix + "host", route.Address},
		{r.Prefix + "host-name", route.Host},
		{r.Prefix + "get", idText(id)},
		{r.Prefix + "forward", strconv.Itoa(route.Number)},
		{r.Prefix + "rank", strconv.Itoa(route.Rank)},
		{r.Prefix + "budget-ms", strconv.FormatInt(int64(route.Budget*1e3), 10)},
		{r.Prefix + "send-by", strconv.FormatInt(now.Add(time.Duration(sendIn*float64(time.Second))).UnixMilli(), 10)},
	}
	if route.Source != "" {
		all = append(all, pair{r.Prefix + "source", route.SourceAddress}, pair{r.Prefix + "source-name", route.Source})
	}
	if route.MaxAge > 0 {
		all = append(all, pair{r.Prefix + "max-age-ms", strconv.FormatInt(max(1, int64(route.MaxAge*1e3)), 10)})
	}
	if route.Variant != "" {
		all = append(all, pair{r.Prefix + "variant", route.Variant})
	}
	for name, on := range map[string]bool{"join": route.Join, "renew": route.Renew, "held-only": route.HeldOnly} {
		if on {
			all = append(all, pair{r.Prefix + name, "1"})
		}
	}
	return all
}

// optional are our headers that not every forward has: those that a client sent must go.
func (r *Rules) optional() (all []string) {
	for _, name := range []string{"source", "source-name", "max-age-ms", "join", "renew", "held-only", "unsent", "again"} {
		all = append(all, r.Prefix+name)
	}
	if r.Devices != nil {
		all = append(all, r.Prefix+"variant")
	}
	return all
}

// sends is the answer to a request's headers that names a host; others are headers that must go besides.
func (r *Rules) sends(set []pair, metadata bool, others ...string) *procv3.ProcessingResponse {
	out := continueRequest(mutation(set, append(r.optional(), others...)...))
	out.GetRequestHeaders().Response.ClearRouteCache = true
	if metadata {
		fields := map[string]*structpb.Value{}
		for _, p := range set {
			fields[p.name[len(r.Prefix):]] = structpb.NewStringValue(p.value)
		}
		out.DynamicMetadata = &structpb.Struct{Fields: map[string]*structpb.Value{
			namespace: structpb.NewStructValue(&structpb.Struct{Fields: fields}),
		}}
	}
	return out
}

func continueRequest(m *procv3.HeaderMutation) *procv3.ProcessingResponse {
	return &procv3.ProcessingResponse{Response: &procv3.ProcessingResponse_RequestHeaders{
		RequestHeaders: &procv3.HeadersResponse{Response: &procv3.CommonResponse{HeaderMutation: m}},
	}}
}

func continueResponse(m *procv3.HeaderMutation) *procv3.ProcessingResponse {
	return &procv3.ProcessingResponse{Response: &procv3.ProcessingResponse_ResponseHeaders{
		ResponseHeaders: &procv3.HeadersResponse{Response: &procv3.CommonResponse{HeaderMutation: m}},
	}}
}

// immediate is the one final answer, in place of any from a host.
func (r *Rules) immediate(f *final) *procv3.ProcessingResponse {
	var set []pair
	if f.wait > 0 {
		set = append(set, pair{"retry-after", strconv.FormatInt(int64(math.Ceil(float64(f.wait)/1e3)), 10)},
			pair{r.Prefix + "retry-after-ms", strconv.FormatInt(f.wait, 10)})
	}
	if f.reason != "" {
		set = append(set, pair{r.Prefix + "reason", f.reason})
	}
	return &procv3.ProcessingResponse{Response: &procv3.ProcessingResponse_ImmediateResponse{
		ImmediateResponse: &procv3.ImmediateResponse{
			Status:  &typev3.HttpStatus{Code: typev3.StatusCode(f.status)},
			Headers: mutation(set), Body: f.body, Details: "elderwall: " + http.StatusText(f.status),
		},
	}}
}

// passOn answers a message that nothing is decided on, so that the proxy goes on; nil for one of a kind that wants no answer.
func passOn(m *procv3.ProcessingRequest) *procv3.ProcessingResponse {
	switch m.Request.(type) {
	case *procv3.ProcessingRequest_RequestBody:
		return &procv3.ProcessingResponse{Response: &procv3.ProcessingResponse_RequestBody{RequestBody: &procv3.BodyResponse{}}}
	case *procv3.ProcessingRequest_ResponseBody:
		return &procv3.ProcessingResponse{Response: &procv3.ProcessingResponse_ResponseBody{ResponseBody: &procv3.BodyResponse{}}}
	case *procv3.ProcessingRequest_RequestTrailers:
		return &procv3.ProcessingResponse{Response: &procv3.ProcessingResponse_RequestTrailers{RequestTrailers: &procv3.TrailersResponse{}}}
	case *procv3.ProcessingRequest_ResponseTrailers:
		return &procv3.ProcessingResponse{Response: &procv3.ProcessingResponse_ResponseTrailers{ResponseTrailers: &procv3.TrailersResponse{}}}
	}
	return nil
}

// idText is a GET's id as proxies are told it.
func idText(id proxycall.ID) string { return fmt.Sprintf("%016x", uint64(id)) }
