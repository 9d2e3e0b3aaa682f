package admission

import "container/list"

// TokenHash is the SHA-256 hash of a token.
type TokenHash [32]byte

// verifiedToken is a token whose signature is right, with the result of its last evaluation.
type verifiedToken struct {
	hash   TokenHash
	key    *Key
	claims Claims

	generation int // of the settings that the following fields were computed with
	tenant     *tenant
	expiry     float64   // Unix seconds
	rejection  Rejection // reason why the token is rejected; Admitted for none

	element *list.Element // in tokenCache.once or tokenCache.reused
	reused  bool          // used more than once
}

// tokenCache holds tokens whose signatures are right, in two parts: tokens used once and tokens used again. Guards
// against a flood of valid tokens that are all different: these evict only tokens used once, not those that callers
// use again.
type tokenCache struct {
	limit        int
	byHash       map[TokenHash]*verifiedToken
	once, reused list.List // of *verifiedToken, the most recently used in front
}

func (t *tokenCache) resize(limit int) {
	if t.limit = limit; t.byHash == nil {
		t.byHash = map[TokenHash]*verifiedToken{}
	}
	t.trim()
}

func (t *tokenCache) onceLimit() int { return max(1, int(onceShare*float64(t.limit))) }

func (t *tokenCache) trim() {
	for t.reused.Len() > max(0, t.limit-t.onceLimit()) { // move it back to those used once
		v := t.reused.Remove(t.reused.Back()).(*verifiedToken)
		v.reused, v.element = false, t.once.PushFront(v)
	}
	for t.once.Len() > t.onceLimit() {
		delete(t.byHash, t.once.Remove(t.once.Back()).(*verifiedToken).hash)
	}
}

func (t *tokenCache) find(hash TokenHash) *verifiedToken {
	v := t.byHash[hash]
	switch {
	case v == nil:
	case v.reused:
		t.reused.MoveToFront(v.element)
	default:
		t.once.Remove(v.element)
		v.reused, v.element = true, t.reused.PushFront(v)
		t.trim()
	}
	return v
}

func (t *tokenCache) put(v *verifiedToken) {
	if old := t.byHash[v.hash]; old != nil {
		if old.reused {
			t.reused.Remove(old.element)
		} else {
			t.once.Remove(old.element)
		}
	}
	t.byHash[v.hash] = v
	v.element = t.once.PushFront(v)
	t.trim()
}
