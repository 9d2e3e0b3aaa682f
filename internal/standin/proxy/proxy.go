// Package proxy plays a front proxy that asks an external processor for each request (envoy.service.ext_proc.v3), sends to
// caches that a test plays, comes again, and misbehaves on purpose. Tests and measurements use it.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	procv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Fault is what a proxy does wrong.
type Fault int

// The faults.
const (
	None          Fault = iota
	GoneAfterAsk        // it hangs up once it has asked
	GoneAfterTold       // once it was told where to send
	GoneHalfway         // once it has told of the response, before it hears
	Silent              // it says nothing of the response, and ends after a while
	Twice               // it tells of the response twice
	ResponseFirst       // it begins with the response
	Bodies              // it sends bodies and trailers that nobody asked for
)

// Answer is what a cache answers.
type Answer struct {
	Status  int
	Headers map[string]string
}

// Proxy is one.
type Proxy struct {
	Cache  func(host string, headers map[string]string) Answer // plays all caches
	Prefix string
	Tries  int           // calls for one request
	Linger time.Duration // that a silent stream stays open

	conn   *grpc.ClientConn
	client procv3.ExternalProcessorClient
}

// Outcome is what a client of the proxy got.
type Outcome struct {
	Status   int      // 0 where the proxy hung up
	Answers  int      // final answers that the client was given
	Calls    int      // of the processor
	Hosts    []string // that were sent to
	Unrouted bool     // the processor let it go on as it was
	Headers  map[string]string
	Body     []byte
	Decided  time.Duration // until the first decision
	Err      error         // of the stream, where the processor refused it
}

// Dial makes a proxy that asks a processor; c is nil for a plain connection.
func Dial(address string, c credentials.TransportCredentials) (*Proxy, error) {
	if c == nil {
		c = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(c))
	if err != nil {
		return nil, fmt.Errorf("stand-in proxy: %w", err)
	}
	return &Proxy{conn: conn, client: procv3.NewExternalProcessorClient(conn), Prefix: "x-elderwall-", Tries: 3, Linger: 50 * time.Millisecond}, nil
}

// Close ends it.
func (p *Proxy) Close() { _ = p.conn.Close() }

// Conn is its connection, for other services of the processor.
func (p *Proxy) Conn() *grpc.ClientConn { return p.conn }

// Client is the plain client of the protocol.
func (p *Proxy) Client() procv3.ExternalProcessorClient { return p.client }

// Headers makes a map of headers out of names and values in turn.
func Headers(words ...string) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for i := 0; i+1 < len(words); i += 2 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: words[i], RawValue: []byte(words[i+1])})
	}
	return m
}

// Ask is a message with a request's headers.
func Ask(words ...string) *procv3.ProcessingRequest {
	return &procv3.ProcessingRequest{Request: &procv3.ProcessingRequest_RequestHeaders{
		RequestHeaders: &procv3.HttpHeaders{Headers: Headers(words...), EndOfStream: true},
	}}
}

// Response is a message with a response's headers.
func Response(status int, words ...string) *procv3.ProcessingRequest {
	return &procv3.ProcessingRequest{Request: &procv3.ProcessingRequest_ResponseHeaders{
		ResponseHeaders: &procv3.HttpHeaders{Headers: Headers(append([]string{":status", strconv.Itoa(status)}, words...)...)},
	}}
}

// Set is the headers that an answer sets.
func Set(m *procv3.HeaderMutation) map[string]string {
	all := map[string]string{}
	for _, o := range m.GetSetHeaders() {
		all[o.GetHeader().GetKey()] = string(o.GetHeader().GetRawValue())
	}
	return all
}

// Do plays one request of a client, in as many calls as it takes.
func (p *Proxy) Do(ctx context.Context, path string, fault Fault, words ...string) (o Outcome) {
	id := ""
	for o.Calls < max(1, p.Tries) {
		o.Calls++
		call := append([]string{":method", "GET", ":path", path}, words...)
		if id != "" {
			call = append(call, p.Prefix+"get", id)
		}
		if id = p.once(ctx, fault, call, &o); id == "" {
			return o
		}
		fault = None
	}
	o.Answers++ // the client gets the last response
	return o
}

// once is one call; it gives the id by which to come again, "" for none.
func (p *Proxy) once(ctx context.Context, fault Fault, call []string, o *Outcome) (again string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := p.client.Process(ctx)
	if err != nil {
		o.Err = err
		return ""
	}
	if fault == ResponseFirst {
		_ = s.Send(Response(200))
		_, o.Err = s.Recv()
		return ""
	}
	began := time.Now()
	if err := s.Send(Ask(call...)); err != nil && !errors.Is(err, io.EOF) {
		o.Err = err
		return ""
	}
	if fault == GoneAfterAsk {
		return ""
	}
	m, err := s.Recv()
	if o.Decided == 0 {
		o.Decided = time.Since(began)
	}
	if err != nil {
		o.Err = err
		return ""
	}
	if i := m.GetImmediateResponse(); i != nil {
		o.Status, o.Headers, o.Body = int(i.GetStatus().GetCode()), Set(i.GetHeaders()), i.GetBody()
		o.Answers++
		return ""
	}
	set := Set(m.GetRequestHeaders().GetResponse().GetHeaderMutation())
	host := set[p.Prefix+"host"]
	if o.Headers = set; host == "" {
		o.Unrouted = true
		o.Status = 200
		o.Answers++
		return ""
	}
	if fault == GoneAfterTold {
		return ""
	}
	o.Hosts = append(o.Hosts, host)
	a := p.Cache(host, set)
	if fault == Silent {
		time.Sleep(p.Linger)
		return ""
	}
	return p.tell(s, fault, a, o)
}

// tell tells of the response.
func (p *Proxy) tell(s procv3.ExternalProcessor_ProcessClient, fault Fault, a Answer, o *Outcome) (again string) {
	if fault == Bodies {
		if err := bodies(s); err != nil {
			o.Err = err
			return ""
		}
	}
	var words []string
	for name, value := range a.Headers {
		words = append(words, name, value)
	}
	_ = s.Send(Response(a.Status, words...))
	if fault == GoneHalfway {
		return ""
	}
	if fault == Twice {
		_ = s.Send(Response(a.Status, words...))
	}
	m, err := s.Recv()
	if err != nil {
		o.Err = err
		return ""
	}
	_ = s.CloseSend()
	if i := m.GetImmediateResponse(); i != nil {
		o.Status, o.Headers = int(i.GetStatus().GetCode()), Set(i.GetHeaders())
	} else {
		o.Status, o.Headers = a.Status, Set(m.GetResponseHeaders().GetResponse().GetHeaderMutation())
	}
	if again = o.Headers[p.Prefix+"again"]; again == "" || o.Calls >= p.Tries {
		o.Answers++
		again = ""
	}
	if fault == Twice {
		_, o.Err = s.Recv()
	}
	return again
}

// bodies sends messages of all other kinds, each of which wants an answer of its kind.
func bodies(s procv3.ExternalProcessor_ProcessClient) error {
	for _, m := range []*procv3.ProcessingRequest{
		{Request: &procv3.ProcessingRequest_RequestBody{RequestBody: &procv3.HttpBody{Body: []byte("x")}}},
		{Request: &procv3.ProcessingRequest_RequestTrailers{RequestTrailers: &procv3.HttpTrailers{}}},
		{Request: &procv3.ProcessingRequest_ResponseBody{ResponseBody: &procv3.HttpBody{Body: []byte("x")}}},
		{Request: &procv3.ProcessingRequest_ResponseTrailers{ResponseTrailers: &procv3.HttpTrailers{}}},
	} {
		if err := s.Send(m); err != nil {
			return err
		}
		out, err := s.Recv()
		if err != nil {
			return err
		}
		if asked, got := kind(fmt.Sprintf("%T", m.Request)), kind(fmt.Sprintf("%T", out.Response)); asked != got {
			return fmt.Errorf("%s was answered by %s", asked, got)
		}
	}
	return nil
}

// kind is the name of a message's kind.
func kind(name string) string { return name[strings.LastIndex(name, "_")+1:] }
