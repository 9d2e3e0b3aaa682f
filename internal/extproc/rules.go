// Package extproc is the front for proxies that ask for each request what to do with it, by Envoy's external processing
// (envoy.service.ext_proc.v3). It reads requests into GETs, hands them to the same handler as any front, and tells the proxy
// where to send them, or answers in its place. What a stream proves and how long a GET waits is decided by core/proxycall.
package extproc

import (
	"errors"
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"elderwall/core/proxycall"
	"elderwall/internal/call"
	"elderwall/internal/hostproto"
)

const (
	mostHeaders  = 256      // of a request
	longestHead  = 64 << 10 // bytes of a request's headers together
	longestPath  = 8 << 10  // bytes
	objectDigits = 16       // hex digits of an object's name
	expected     = "x-envoy-expected-rq-timeout-ms"
	bearer       = "bearer "
	pathName     = ":path"
	methodName   = ":method"
	tagName      = "if-none-match"
	tokenName    = "authorization"
	statusName   = ":status"
	ageName      = "age" // s (RFC 9111, section 5.1)
)

// Path is a rule that makes GETs of some paths.
type Path struct {
	Pattern *regexp.Regexp // with groups named object, part and group
	Service string
	Budget  float64 // s; the longest that a client waits
}

// Rules is how requests are read.
type Rules struct {
	Paths   []Path
	Prefix  string            // of our headers
	Devices map[string]string // by delivery service, the header that tells the class of a client's device; nil for none
	Routing bool              // the proxy sends; else the dispatcher does, and object names must be as hosts have them
}

// Asked is what a request asks for.
type Asked struct {
	call.GET
	Again  proxycall.ID // of the GET that it goes on with, 0 for none
	Unsent bool         // the proxy tells that it could not send the forward before
}

// What can be wrong with a request.
var (
	ErrLong   = errors.New("headers are too long or too many")
	ErrBad    = errors.New("not a request that can be read")
	ErrNoRule = errors.New("no rule for this path")
)

// value is a header's, in whichever of its two fields it came.
func value(h *corev3.HeaderValue) string {
	if h.GetValue() != "" {
		return h.GetValue()
	}
	return string(h.GetRawValue())
}

// headers takes those that are looked at, by their names in small letters; the last of a name counts.
func headers(m *corev3.HeaderMap, most int) (map[string]string, error) {
	all, size := make(map[string]string, len(m.GetHeaders())), 0
	if len(m.GetHeaders()) > mostHeaders {
		return nil, ErrLong
	}
	for _, h := range m.GetHeaders() {
		v := value(h)
		if size += len(h.GetKey()) + len(v); size > most {
			return nil, ErrLong
		}
		all[strings.ToLower(h.GetKey())] = v
	}
	return all, nil
}

// Read makes a GET of a request's headers.
func (r *Rules) Read(m *corev3.HeaderMap) (a Asked, err error) {
	h, err := headers(m, longestHead)
	if err != nil {
		return a, err
	}
	path := h[pathName]
	switch method := h[methodName]; {
	case !utf8.ValidString(path) || path == "" || len(path) > longestPath:
		return a, fmt.Errorf("%w: path", ErrBad)
	case method != "GET" && method != "HEAD" && method != "":
		return a, fmt.Errorf("%w: method", ErrNoRule)
	}
	for i := range r.Paths {
		p := &r.Paths[i]
		if found := p.Pattern.FindStringSubmatch(path); found != nil {
			return r.read(p, found, h)
		}
	}
	return a, ErrNoRule
}

func (r *Rules) read(p *Path, found []string, h map[string]string) (a Asked, err error) {
	part := func(name string) string {
		if i := p.Pattern.SubexpIndex(name); i >= 0 {
			return found[i]
		}
		return ""
	}
	a.Service, a.Budget, a.PartText = p.Service, p.Budget, "0"
	if a.Object, err = r.object(part("object")); err != nil {
		return a, err
	}
	for name, to := range map[string]*int{"part": &a.Part, "group": &a.Group} {
		text := part(name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return a, fmt.Errorf("%w: %s", ErrBad, name)
		}
		*to = int(n)
	}
	a.PartText = strconv.Itoa(a.Part)
	for _, name := range []string{expected, r.Prefix + "budget-ms"} {
		if ms, err := strconv.ParseFloat(h[name], 64); err == nil && ms > 0 && ms < a.Budget*1e3 {
			a.Budget = ms / 1e3
		}
	}
	if tag := h[tagName]; isHex(tag) {
		a.Tag = tag
	}
	if token := h[tokenName]; len(token) > len(bearer) && strings.EqualFold(token[:len(bearer)], bearer) {
		a.Token = token[len(bearer):]
	}
	if id, err := strconv.ParseUint(h[r.Prefix+"get"], 16, 64); err == nil {
		a.Again = proxycall.ID(id)
	}
	if header := r.Devices[a.Service]; header != "" {
		a.Device = h[header]
	}
	a.Unsent = h[r.Prefix+"unsent"] == "1"
	return a, nil
}

// object is the module's name of an object: as it is, or, where the proxy sends, made of any text.
func (r *Rules) object(text string) (string, error) {
	switch {
	case isHex(text):
		return text, nil
	case text == "" || !r.Routing:
		return "", fmt.Errorf("%w: object", ErrBad)
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return fmt.Sprintf("%016x", sum.Sum64()), nil
}

func isHex(text string) bool {
	if len(text) != objectDigits {
		return false
	}
	for _, c := range text {
		if !strings.ContainsRune("0123456789abcdef", c) {
			return false
		}
	}
	return true
}

// response is what the headers of a host's response tell.
type response struct {
	reply  proxycall.Response
	note   string
	proofs hostproto.Proofs // none where no devices are told apart
}

// response reads a response's headers.
func (r *Rules) response(m *corev3.HeaderMap) (response, error) {
	h, err := headers(m, longestHead)
	if err != nil {
		return response{}, err
	}
	status, err := strconv.Atoi(h[statusName])
	if err != nil || status < 100 || status > 999 {
		return response{}, fmt.Errorf("%w: status", ErrBad)
	}
	got := response{note: h[r.Prefix+"note"]}
	got.reply = proxycall.Response{Status: status, Full: got.note == "full", Age: -1}
	if age, err := strconv.ParseFloat(h[ageName], 64); err == nil && age >= 0 {
		got.reply.Age = age
	}
	if r.Devices != nil {
		got.proofs = r.proofs(h)
	}
	return got, nil
}

// proofs is what a response tells of its content. A weak tag proves nothing (RFC 9110, section 8.8.1).
func (r *Rules) proofs(h map[string]string) (p hostproto.Proofs) {
	if tag := h["etag"]; len(tag) > 2 && tag[0] == '"' && tag[len(tag)-1] == '"' {
		p.Tag = hostproto.Hash([]byte(tag[1 : len(tag)-1]))
	}
	p.Digest = hostproto.Hash([]byte(h["repr-digest"]))
	p.Version, _ = strconv.ParseUint(h[r.Prefix+"version"], 10, 64)
	return p
}
