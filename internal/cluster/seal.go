package cluster

import (
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/crypto/chacha20poly1305"

	"elderwall/core/cluster/membership"
)

const (
	mostKeys   = 2                         // the one that seals, and one that is on its way in or out
	longestKey = 1 << 12                   // bytes of a key file
	window     = 1024                      // numbers behind the highest that may still come: datagrams overtake streams
	starts     = 2 * membership.MaxMembers // processes whose numbers are remembered
	headLength = 1 + 8 + 8                 // kind, boot, number: in the clear, and sealed with the rest
	sealLength = headLength + 24 + 16      // and the nonce and the tag
)

// Kinds of what is sealed.
const (
	sealedMessage = byte(1)
	sealedAsk     = byte(2)
	sealedTold    = byte(3)
	sealedRaft    = byte(4)
	sealedTurn    = byte(5)
	sealedAnswer  = byte(6)
	sealedSpend   = byte(7)
	sealedGive    = byte(8)
	sealedMemory  = byte(9)
	sealedNotes   = byte(10)
)

// Keys seal and open what goes between the processes of a fleet: XChaCha20-Poly1305 with a nonce drawn for each. The first
// key seals; all open, so that keys can be changed one process after the other.
type Keys struct {
	mu  sync.RWMutex
	all []cipher.AEAD
}

// ReadKeys reads a key file: one or two lines, each of 32 bytes in base64.
func ReadKeys(path string) (*Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s holds a secret, and its mode %v lets others at it; make it 0600", path, info.Mode().Perm())
	}
	if info.Size() > longestKey {
		return nil, fmt.Errorf("%s: %d bytes, at most %d", path, info.Size(), longestKey)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	return ParseKeys(string(raw))
}

// ParseKeys takes the text of a key file. No error shows a key.
func ParseKeys(text string) (*Keys, error) {
	k := &Keys{}
	for i, line := range strings.Fields(text) {
		raw, err := base64.StdEncoding.DecodeString(line)
		if err != nil || len(raw) != chacha20poly1305.KeySize {
			return nil, fmt.Errorf("key %d is not 32 bytes in base64", i+1)
		}
		aead, err := chacha20poly1305.NewX(raw)
		if err != nil {
			return nil, fmt.Errorf("key %d: %w", i+1, err)
		}
		k.all = append(k.all, aead)
	}
	if len(k.all) == 0 || len(k.all) > mostKeys {
		return nil, fmt.Errorf("%d keys; there must be one, or two while it is changed", len(k.all))
	}
	return k, nil
}

// NewKey draws a key, as a line of a key file.
func NewKey() string {
	raw := make([]byte, chacha20poly1305.KeySize)
	_, _ = rand.Read(raw) // it never fails
	return base64.StdEncoding.EncodeToString(raw)
}

// OpenKeys keep nothing secret: those of a fleet that has no key, and may only be on loopback.
func OpenKeys() *Keys {
	aead := must(chacha20poly1305.NewX(make([]byte, chacha20poly1305.KeySize)))
	return &Keys{all: []cipher.AEAD{aead}}
}

// Take puts other keys in force.
func (k *Keys) Take(to *Keys) {
	to.mu.RLock()
	defer to.mu.RUnlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.all = to.all
}

// seal seals a text of a kind, from a process that numbers what it sends; bound is what it is bound to besides.
func (k *Keys) seal(kind byte, boot, number uint64, text, bound []byte) []byte {
	k.mu.RLock()
	defer k.mu.RUnlock()
	b := make([]byte, headLength+chacha20poly1305.NonceSizeX, sealLength+len(text))
	b[0] = kind
	binary.BigEndian.PutUint64(b[1:], boot)
	binary.BigEndian.PutUint64(b[9:], number)
	nonce := b[headLength:]
	_, _ = rand.Read(nonce)
	return k.all[0].Seal(b, nonce, text, append(b[:headLength:headLength], bound...))
}

var errSealed = errors.New("sealed by no key of ours")

// openedText is a text that one of the keys opened.
type openedText struct {
	boot, number uint64 // the incarnation of the process that sealed it, and its number there
	text         []byte
}

// open opens what was sealed as a kind, by any of the keys.
func (k *Keys) open(kind byte, b, bound []byte) (openedText, error) {
	if len(b) < sealLength || b[0] != kind {
		return openedText{}, errSealed
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	head, nonce, sealed := b[:headLength:headLength], b[headLength:headLength+chacha20poly1305.NonceSizeX], b[headLength+chacha20poly1305.NonceSizeX:]
	for _, aead := range k.all {
		if text, err := aead.Open(nil, nonce, sealed, append(head, bound...)); err == nil {
			return openedText{boot: binary.BigEndian.Uint64(b[1:]), number: binary.BigEndian.Uint64(b[9:]), text: text}, nil
		}
	}
	return openedText{}, errSealed
}

// numbers tells what has come before, by process. Guards against datagrams that are kept and sent again: old news would be
// refuted, but answers to old questions would count for new ones.
type numbers struct{ by *lru.LRU[uint64, *seen] }

type seen struct {
	highest uint64
	bits    [window / 64]uint64
}

func newNumbers() *numbers {
	return &numbers{must(lru.NewLRU[uint64, *seen](starts, nil))}
}

// first tells whether a number of a process comes for the first time, as far as is remembered.
func (n *numbers) first(boot, number uint64) bool {
	s, ok := n.by.Get(boot)
	if !ok {
		s = &seen{highest: number}
		n.by.Add(boot, s)
		s.set(number)
		return true
	}
	switch {
	case number+window <= s.highest:
		return false
	case number > s.highest:
		for ; s.highest < number; s.highest++ {
			if number-s.highest > window {
				s.highest = number - window
				s.bits = [window / 64]uint64{}
			}
			next := s.highest + 1
			s.bits[next/64%(window/64)] &^= 1 << (next % 64)
		}
	case s.bits[number/64%(window/64)]&(1<<(number%64)) != 0:
		return false
	}
	s.set(number)
	return true
}

func (s *seen) set(number uint64) { s.bits[number/64%(window/64)] |= 1 << (number % 64) }
