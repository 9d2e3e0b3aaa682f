package pressure

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"elderwall/internal/standin"
	"elderwall/internal/standin/proxy"
	"elderwall/internal/standin/rig"
)

const (
	longestFrame   = 1 << 18 // bytes of a client's message
	longestMessage = 250_000 // bytes of a proxy's message
	slowPiece      = 512     // bytes
	slowPause      = 5 * time.Millisecond
	writeIn        = 2 * time.Second
	mostStreams    = 100 // of one connection of a proxy
	windowUpdate   = 1 << 20
)

// Hostile is clients or proxies that hold connections with something under way, until Close.
type Hostile struct {
	mu    sync.Mutex // guards conns
	conns []net.Conn
	stop  chan struct{}
	all   sync.WaitGroup
}

// Connect has so many of them connect, each of which does what is said; it returns once all have begun.
func (p *Process) Connect(n int, do func(h *Hostile, c net.Conn)) *Hostile {
	h := &Hostile{stop: make(chan struct{})}
	var begun sync.WaitGroup
	for range n {
		begun.Add(1)
		h.all.Go(func() {
			defer begun.Done()
			c, err := p.dialRaw()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns = append(h.conns, c)
			h.mu.Unlock()
			h.all.Go(func() { do(h, c) })
		})
	}
	begun.Wait()
	return h
}

// Close ends all connections.
func (h *Hostile) Close() {
	close(h.stop)
	h.mu.Lock()
	for _, c := range h.conns {
		_ = c.Close()
	}
	h.mu.Unlock()
	h.all.Wait()
}

// dialRaw connects to the front, through TLS where it is that.
func (p *Process) dialRaw() (net.Conn, error) {
	if p.Front == Secure {
		c := p.TLS()
		c.ServerName = "127.0.0.1"
		return tls.DialWithDialer(&net.Dialer{Timeout: writeIn}, "tcp", p.Address, c) //nolint:wrapcheck // the dialer's own error
	}
	return net.DialTimeout("tcp", p.Address, writeIn) //nolint:wrapcheck // the dialer's own error
}

// write writes all in pieces with a pause behind each; false once the connection has ended.
func (h *Hostile) write(c net.Conn, b []byte, piece int, pause time.Duration) bool {
	for len(b) > 0 {
		n := min(piece, len(b))
		_ = c.SetWriteDeadline(time.Now().Add(writeIn))
		if _, err := c.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
		select {
		case <-h.stop:
			return false
		case <-time.After(pause):
		}
	}
	return true
}

// largeCall is the longest call of a client that fits a frame.
func largeCall() []byte {
	return standin.Call("process", 1, 1, standin.ProcessArguments(standin.Fields(rig.Fresh()...), string(make([]byte, 240_000))))
}

// fieldsCall is a call with as many short fields as fit a frame.
func fieldsCall() []byte {
	const pair = 10 // bytes: two lengths, a name and a value of a byte each
	n := (longestFrame - 100) / pair
	arguments := binary.BigEndian.AppendUint32([]byte{13, 0, 1, 11, 11}, uint32(n))
	for i := range n {
		arguments = append(arguments, 0, 0, 0, 1, byte('a'+i%26), 0, 0, 0, 1, byte('a'+i%23))
	}
	return standin.Call("process", 1, 1, arguments)
}

// SlowClient writes a large call slowly, again and again.
func SlowClient(h *Hostile, c net.Conn) {
	for h.write(c, largeCall(), slowPiece, slowPause) {
		continue
	}
}

// HalfClient stops half way through a large call, and stays.
func HalfClient(h *Hostile, c net.Conn) {
	call := largeCall()
	h.write(c, call[:len(call)-1000], len(call), 0)
	<-h.stop
}

// FieldsClient sends calls of very many short fields, as fast as they are taken.
func FieldsClient(h *Hostile, c net.Conn) {
	call := fieldsCall()
	for h.write(c, call, len(call), 0) {
		continue
	}
}

// session is a proxy's connection (RFC 9113), written by hand so that it can be left half way.
type session struct {
	net.Conn
	framer *http2.Framer
	head   bytes.Buffer
	coder  *hpack.Encoder
	mu     sync.Mutex // guards writes
}

// open begins a proxy's connection, and reads what comes on it until its end.
func (h *Hostile) open(c net.Conn) (*session, error) {
	s := &session{Conn: c, framer: http2.NewFramer(c, c)}
	s.coder = hpack.NewEncoder(&s.head)
	_ = c.SetWriteDeadline(time.Now().Add(writeIn))
	if _, err := c.Write([]byte(http2.ClientPreface)); err != nil {
		return nil, fmt.Errorf("preface: %w", err)
	}
	if err := s.framer.WriteSettings(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	h.all.Go(s.read) // ends with the connection
	return s, nil
}

// read answers what a peer must answer.
func (s *session) read() {
	for {
		f, err := s.framer.ReadFrame()
		if err != nil {
			return
		}
		s.mu.Lock()
		_ = s.SetWriteDeadline(time.Now().Add(writeIn))
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				_ = s.framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				_ = s.framer.WritePing(true, f.Data)
			}
		case *http2.DataFrame:
			_ = s.framer.WriteWindowUpdate(0, windowUpdate)
		}
		s.mu.Unlock()
	}
}

// begin begins a stream of the external processor, with further fields of a head.
func (s *session) begin(stream uint32, further int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head.Reset()
	for _, f := range [][2]string{
		{":method", "POST"},
		{":scheme", "http"},
		{":path", "/envoy.service.ext_proc.v3.ExternalProcessor/Process"},
		{":authority", "x"},
		{"content-type", "application/grpc"},
		{"te", "trailers"},
	} {
		_ = s.coder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	for i := range further {
		_ = s.coder.WriteField(hpack.HeaderField{Name: fmt.Sprint("a", i%8), Value: "b"})
	}
	return s.writeHead(stream)
}

// writeHead writes a head in as many frames as it takes.
func (s *session) writeHead(stream uint32) error {
	_ = s.SetWriteDeadline(time.Now().Add(writeIn))
	b := s.head.Bytes()
	first := b[:min(len(b), longestHeadFrame)]
	err := s.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: first, EndHeaders: len(first) == len(b)})
	for b = b[len(first):]; err == nil && len(b) > 0; {
		n := min(len(b), longestHeadFrame)
		err = s.framer.WriteContinuation(stream, n == len(b), b[:n])
		b = b[n:]
	}
	if err != nil {
		return fmt.Errorf("head: %w", err)
	}
	return nil
}

const longestHeadFrame = 16 << 10 // bytes

// data writes bytes of a stream, as far as a window that is never looked at allows.
func (s *session) data(stream uint32, b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(b) > 0 {
		n := min(len(b), longestHeadFrame)
		_ = s.SetWriteDeadline(time.Now().Add(writeIn))
		if err := s.framer.WriteData(stream, false, b[:n]); err != nil {
			return fmt.Errorf("data: %w", err)
		}
		b = b[n:]
	}
	return nil
}

// end ends a stream with nothing sent on it.
func (s *session) end(stream uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.SetWriteDeadline(time.Now().Add(writeIn))
	if err := s.framer.WriteData(stream, true, nil); err != nil {
		return fmt.Errorf("data: %w", err)
	}
	return nil
}

// message is a gRPC message with a request's head of very many short fields.
func message(fields int) []byte {
	var words []string
	for i := range fields {
		words = append(words, string(rune('a'+i%26)), "")
	}
	return ask("/clips/"+rig.Object+"/0", words...)
}

// ask is a gRPC message with the head of a request for a path.
func ask(path string, words ...string) []byte {
	words = append([]string{":method", "GET", ":path", path}, words...)
	raw, err := proto.Marshal(proxy.Ask(words...))
	if err != nil {
		panic(err)
	}
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(raw))), raw...)
}

// window is what a peer may send on a new stream before it is told more (RFC 9113, section 6.9.2).
const window = 65_535 // bytes

// streams has a proxy begin many streams, and send the beginning of a message on each.
func (h *Hostile) streams(c net.Conn, further int, b []byte, pause time.Duration) {
	s, err := h.open(c)
	if err != nil {
		return
	}
	for i := range mostStreams {
		stream := uint32(2*i + 1)
		if s.begin(stream, further) != nil || len(b) > 0 && s.data(stream, b) != nil {
			return
		}
		select {
		case <-h.stop:
			return
		case <-time.After(pause):
		}
	}
	<-h.stop
}

// SlowProxy begins messages on many streams, slowly.
func SlowProxy(h *Hostile, c net.Conn) {
	h.streams(c, 0, halfMessage(window/2), 20*time.Millisecond)
}

// HalfProxy stops half way through a large message on each of many streams, as far as the window of each goes.
func HalfProxy(h *Hostile, c net.Conn) { h.streams(c, 0, halfMessage(window), 0) }

// halfMessage is the beginning of a message that is said to be much longer.
func halfMessage(n int) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0}, longestMessage), make([]byte, n-5)...)
}

// FieldsProxy sends messages with heads of as many short fields as fit the window of a stream.
func FieldsProxy(h *Hostile, c net.Conn) { h.streams(c, 0, message(window/8), 0) }

// HeadsProxy begins streams with heads of very many short fields.
func HeadsProxy(h *Hostile, c net.Conn) { h.streams(c, 100_000, nil, 0) }
