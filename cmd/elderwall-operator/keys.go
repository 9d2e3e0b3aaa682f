package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"elderwall/core/admission"
	"elderwall/internal/table"
	"elderwall/internal/token"
)

// keysCommand keeps a key set: every change writes the file anew, whole, and a dispatcher takes it on SIGHUP.
type keysCommand struct {
	New      newKey      `cmd:"" help:"Make a key; its private part goes into a file of its own, and it is announced in the set."`
	Announce announceKey `cmd:"" help:"Announce a key that was made elsewhere, from a JWK Set of public keys."`
	Activate moveKey     `cmd:"" help:"Let a key count from now, or from --at on."`
	Retire   moveKey     `cmd:"" help:"Let a key sign no more: what it signed before counts until it ends, or until --until."`
	Revoke   revokeKey   `cmd:"" help:"Let a key and all that it signed count no more, at once."`
	List     listKeys    `cmd:"" help:"List the keys of a set."`
}

type keySet struct {
	Set string `required:"" help:"The JWK Set that dispatchers read." type:"path" placeholder:"FILE"`
}

// change reads a set, has it changed, and puts the new one in its place at once: who reads it sees one or the other.
func (s keySet) change(missing bool, with func([]*token.Key) ([]*token.Key, error)) error {
	var keys []*token.Key
	raw, err := os.ReadFile(s.Set)
	switch {
	case err == nil:
		if keys, err = token.ReadSet(raw, false); err != nil {
			return err
		}
	case !missing || !errors.Is(err, os.ErrNotExist):
		return fmt.Errorf("key set: %w", err)
	}
	if keys, err = with(keys); err != nil {
		return err
	}
	if raw, err = token.WriteSet(keys); err != nil {
		return err
	}
	return replace(s.Set, raw)
}

// replace writes a file beside another and then in its place. Only its owner may read it: it may hold secrets.
func replace(path string, raw []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(raw)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

type newKey struct {
	keySet
	ID        string   `arg:"" help:"The key's id."`
	Algorithm string   `default:"EdDSA" enum:"EdDSA,ES256,RS256,HS256" help:"The one algorithm by which it signs."`
	Private   string   `required:"" help:"Where the private part goes; it must not be there yet." type:"path" placeholder:"FILE"`
	Issuer    string   `help:"The issuer that its tokens must name."`
	Tenants   []string `help:"The tenants that it may speak for; all without."`
}

// Run makes a key.
func (n *newKey) Run() error {
	k, err := token.NewKey(n.ID, n.Algorithm)
	if err != nil {
		return err
	}
	k.Issuer, k.Tenants = n.Issuer, n.Tenants
	raw, err := token.WriteSet([]*token.Key{k})
	if err != nil {
		return err
	}
	if _, err := os.Stat(n.Private); err == nil {
		return fmt.Errorf("%s is there already", n.Private)
	}
	return n.change(true, func(keys []*token.Key) ([]*token.Key, error) {
		if token.Find(keys, n.ID) != nil {
			return nil, fmt.Errorf("key %q is there already", n.ID)
		}
		return append(keys, k.Public()), replace(n.Private, raw)
	})
}

type announceKey struct {
	keySet
	From string `arg:"" help:"A JWK Set with the keys to add." type:"existingfile"`
}

// Run adds keys.
func (a *announceKey) Run() error {
	raw, err := os.ReadFile(a.From)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	added, err := token.ReadSet(raw, false)
	if err != nil {
		return err
	}
	return a.change(true, func(keys []*token.Key) ([]*token.Key, error) {
		for _, k := range added {
			if token.Find(keys, k.ID) != nil {
				return nil, fmt.Errorf("key %q is there already", k.ID)
			}
			k.State, k.From = admission.Announced, 0
			keys = append(keys, k)
		}
		return keys, nil
	})
}

// moveKey takes a key to another state.
type moveKey struct {
	keySet
	ID    string    `arg:"" help:"The key's id."`
	At    time.Time `help:"The moment (RFC 3339) from which it counts or signs no more; now without."`
	Until time.Time `help:"The moment (RFC 3339) until which it counts; none without."`

	to admission.KeyState
}

// AfterApply tells each of the moves where it goes.
func (k *keysCommand) AfterApply() error { //nolint:unparam // kong calls hooks of this signature alone
	k.Activate.to, k.Retire.to = admission.Active, admission.Retiring
	return nil
}

// revokeKey has no moment: what is revoked is so at once.
type revokeKey struct {
	keySet
	ID string `arg:"" help:"The key's id."`
}

// Run revokes the key.
func (r *revokeKey) Run() error {
	return (&moveKey{keySet: r.keySet, ID: r.ID, to: admission.Revoked}).Run()
}

// Run moves the key.
func (m *moveKey) Run() error {
	return m.change(false, func(keys []*token.Key) ([]*token.Key, error) {
		k := token.Find(keys, m.ID)
		if k == nil {
			return nil, fmt.Errorf("there is no key %q", m.ID)
		}
		return keys, m.move(k, time.Now())
	})
}

// move takes the steps of a key's life in their order; what is revoked stays so.
func (m *moveKey) move(k *token.Key, now time.Time) error {
	if k.State >= m.to && (k.State != admission.Active || m.to != admission.Active) {
		return fmt.Errorf("key %q is %s, and never goes back", k.ID, token.StateName(k.State))
	}
	at := now
	if !m.At.IsZero() {
		at = m.At
	}
	switch m.to {
	case admission.Active:
		k.From = unix(at)
	case admission.Retiring:
		k.RetiredAt = unix(at)
	}
	if !m.Until.IsZero() {
		k.Until = unix(m.Until)
	}
	k.State = m.to
	return nil
}

func unix(t time.Time) float64 { return float64(t.UnixMilli()) / 1e3 }

type listKeys struct{ keySet }

// Run lists a set.
func (l *listKeys) Run() error {
	raw, err := os.ReadFile(l.Set)
	if err != nil {
		return fmt.Errorf("key set: %w", err)
	}
	keys, err := token.ReadSet(raw, false)
	if err != nil {
		return err
	}
	return listKeySet(os.Stdout, keys)
}

func listKeySet(to io.Writer, keys []*token.Key) error {
	slices.SortStableFunc(keys, func(a, b *token.Key) int { return int(a.State) - int(b.State) })
	w := table.New(to, columnGap, 0)
	w.Println("key\talgorithm\tstate\tfrom\tuntil\tretired\ttenants")
	for _, k := range keys {
		w.Printf("%s\t%s\t%s\t%s\t%s\t%s\t%s\n", k.ID, k.Algorithm, token.StateName(k.State), moment(k.From),
			moment(k.Until), moment(k.RetiredAt), strings.Join(k.Tenants, ","))
	}
	return w.Flush()
}

func moment(unix float64) string {
	if unix == 0 {
		return "-"
	}
	return time.UnixMilli(int64(unix * 1e3)).UTC().Format(time.RFC3339)
}
