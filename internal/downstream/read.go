package downstream

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"

	"elderwall/core/admission"
	"elderwall/internal/call"
	"elderwall/internal/thrift"
)

const (
	idLength    = 16 // hex digits of the ids of requests, objects and copies
	hexDigits   = "0123456789abcdef"
	lastGroup   = 255     // groups are numbered from 0
	longestBody = 240_000 // bytes; of an object
	longestKey  = 64      // bytes; of an idempotency key
)

var errField = errors.New("unusable field")

// read makes a GET of a message, with strings of its own. Its token names the caller where somebody asks for that, unless it proves to
// be a key; elsewhere it is the key by which hosts tell a repeat of a request that must not take effect twice, and is passed on to them.
func read(m thrift.Call, caller *admission.Conn) call.GET {
	g := call.GET{
		ID: string(m.ID), Service: string(m.Service), Object: string(m.Object), PartText: string(m.Part),
		Tag: string(m.Tag), Body: slices.Clone(m.Body), Conn: caller,
	}
	check := func(ok bool, name string, text []byte) {
		if !ok && g.Err == nil {
			g.Err = fmt.Errorf("%w: %s %.32q", errField, name, text)
		}
	}
	number := func(name string, text []byte, least, most int) int {
		v, err := strconv.Atoi(string(text))
		check(err == nil && v >= least && v <= most && strconv.Itoa(v) == string(text), name, text)
		return v
	}
	g.Part, g.Group = number("nth", m.Part, 0, math.MaxInt32), number("batch", m.Group, 0, lastGroup)
	g.Budget = float64(number("budget", m.Budget, 1, math.MaxInt32)) / 1e3
	check(isID(m.ID), "rid", m.ID)
	check(isID(m.Object), "obj", m.Object)
	check(m.Tag == nil || isID(m.Tag), "got", m.Tag)
	check(len(m.Body) <= longestBody, "body", nil)
	if caller != nil {
		g.SetTokenOrKey(string(m.Token), isKey(m.Token))
		return g
	}
	g.IdempotencyKey = string(m.Token)
	check(m.Token == nil || isKey(m.Token), "token", m.Token)
	return g
}

// isKey tells whether a text may be an idempotency key: one that a field of a request to a host can carry.
func isKey(text []byte) bool {
	unusable := func(r rune) bool { return r <= ' ' || r >= utf8.RuneSelf || r == 0x7f || r == ',' || r == '=' }
	return len(text) > 0 && len(text) <= longestKey && bytes.IndexFunc(text, unusable) < 0
}

func isID(text []byte) bool { return len(text) == idLength && len(bytes.Trim(text, hexDigits)) == 0 }
