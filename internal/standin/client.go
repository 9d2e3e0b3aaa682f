package standin

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sort"
)

// Client is a client of a dispatcher, on one connection.
type Client struct {
	Conn net.Conn
	seq  int32
}

// Reply is what a dispatcher answered: Kind is served, refused, failed, or exception.
type Reply struct {
	Seq    int32
	Method string
	Kind   string
	Body   string
	Fields map[string]string
	Good   bool
}

// Dial connects a client.
func Dial(address string) (*Client, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return &Client{Conn: c}, nil
}

// Fields are those of a GET as clients send them, with changes; a change to "" leaves the field out.
func Fields(changes ...string) map[string]string {
	fields := map[string]string{"method": "segment", "rid": "9b1f03aa5c7e2d41", "budget": "60000",
		"obj": "7f3a9c21e0b4d655", "nth": "3", "batch": "17"}
	for i := 0; i+1 < len(changes); i += 2 {
		if fields[changes[i]] = changes[i+1]; changes[i+1] == "" {
			delete(fields, changes[i])
		}
	}
	return fields
}

// Call is the frame of a call, whose arguments are given as they go on the wire.
func Call(method string, kind byte, seq int32, arguments []byte) []byte {
	b := append([]byte{0, 0, 0, 0, 0x80, 1, 0, kind}, text(method)...)
	b = append(binary.BigEndian.AppendUint32(b, uint32(seq)), arguments...)
	b = append(b, 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

// ProcessArguments are those of a GET.
func ProcessArguments(fields map[string]string, body string) []byte {
	var names []string
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	b := binary.BigEndian.AppendUint32([]byte{13, 0, 1, 11, 11}, uint32(len(names)))
	for _, name := range names {
		b = append(append(b, text(name)...), text(fields[name])...)
	}
	return append(append(b, 11, 0, 2), text(body)...)
}

// GiveUpArguments are those of giving up a call.
func GiveUpArguments(seq int32) []byte {
	return binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(seq))
}

func text(s string) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(s))), s...) }

// Process sends a GET and returns its number.
func (c *Client) Process(fields map[string]string, body string) (int32, error) {
	c.seq++
	return c.seq, c.write(Call("process", 1, c.seq, ProcessArguments(fields, body)))
}

// GiveUp sends that a call is given up.
func (c *Client) GiveUp(seq int32) error { return c.write(Call("giveUp", 4, 0, GiveUpArguments(seq))) }

// Probe asks whether the dispatcher takes GETs.
func (c *Client) Probe() (bool, error) {
	c.seq++
	if err := c.write(Call("probe", 1, c.seq, []byte{2, 0, 1, 0})); err != nil {
		return false, err
	}
	r, err := c.Read()
	return r.Good, err
}

func (c *Client) write(frame []byte) error {
	if _, err := c.Conn.Write(frame); err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	return nil
}

// Read reads one reply.
func (c *Client) Read() (Reply, error) {
	var size [4]byte
	if _, err := io.ReadFull(c.Conn, size[:]); err != nil {
		return Reply{}, fmt.Errorf("stand-in: %w", err)
	}
	frame := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err := io.ReadFull(c.Conn, frame); err != nil {
		return Reply{}, fmt.Errorf("stand-in: %w", err)
	}
	return parse(frame), nil
}

// parse reads a reply of the forms that the page gives; others make it panic, which is what a test wants.
func parse(frame []byte) Reply {
	at := 4
	number := func() int { at += 4; return int(int32(binary.BigEndian.Uint32(frame[at-4:]))) }
	word := func() string { n := number(); at += n; return string(frame[at-n : at]) }
	r := Reply{Method: word(), Seq: int32(number()), Fields: map[string]string{}}
	fields := func() {
		at += 2 // the types of names and values
		for n := number(); n > 0; n-- {
			name := word()
			r.Fields[name] = word()
		}
	}
	if frame[3] == 3 {
		r.Kind = "exception"
		return r
	}
	r.Kind = []string{"served", "refused", "failed"}[frame[at+2]]
	for at += 3; frame[at] != 0; {
		kind := frame[at]
		at += 3
		switch kind {
		case 11:
			r.Body = word()
		case 13:
			fields()
		case 2:
			r.Good = frame[at] == 1
			at++
		}
	}
	if at != len(frame)-2 || frame[at+1] != 0 {
		panic("bytes behind the reply")
	}
	return r
}
