// Package operator reads an operator's own file: what an installation adds to the platform's configuration. It is
// Jsonnet, decoded strictly: an unknown key, a missing unit or a value out of range is a fault, and all faults of the
// file and of the files that it names come at once. It decides nothing; what is told nothing of has the modules' own
// defaults.
package operator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"elderwall/callers"
	"elderwall/internal/certs"
	"elderwall/internal/token"
)

const longestFile = 64 << 20 // bytes; a hundred thousand tenants with room

// Config is what the file says.
type Config struct {
	Callers *callers.Settings     // nil where nobody asks who is calling
	Keys    map[string]*token.Key // that tokens may be signed by
	TLS     *TLS                  // nil where there is no listener for it
}

// TLS is a listener beside the plain one.
type TLS struct {
	Listen string
	certs.Material
}

// Load reads the file and all that it names; services are the delivery services by their place, none of which means
// that they are not known and any name will do.
func Load(path string, services []string) (*Config, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return decode(path, string(text), services)
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	if info.Size() > longestFile {
		return nil, fmt.Errorf("%s: %d bytes, at most %d", path, info.Size(), longestFile)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return raw, nil
}

// decoder holds what the parts of a file share.
type decoder struct {
	*faults
	folder   string
	services []string
	open     bool // services are not known: those named are taken as they come
	config   Config
}

func decode(path, text string, services []string) (*Config, error) {
	value, tree, err := evaluate(path, text)
	if err != nil {
		return nil, err
	}
	d := &decoder{faults: &faults{file: path, tree: tree}, folder: filepath.Dir(path), services: services,
		open: len(services) == 0}
	o := d.object(nil, value)
	if c := o.inner("callers"); c != nil {
		d.callers(c)
	}
	if t := o.inner("tls"); t != nil {
		d.tls(t)
	}
	o.done()
	if s := d.config.Callers; s != nil {
		if err := s.Check(); err != nil {
			d.each([]string{"callers"}, err)
		}
	}
	return &d.config, errors.Join(d.all...)
}

// file reads a file that a key names, beside the operator's own.
func (d *decoder) file(o *object, key string) (raw []byte, path string, ok bool) {
	var name string
	if !o.text(key, &name) {
		return nil, "", false
	}
	return d.named(o, key, name)
}

func (d *decoder) named(o *object, key, name string) (raw []byte, path string, ok bool) {
	if path = name; !filepath.IsAbs(path) {
		path = filepath.Join(d.folder, path)
	}
	raw, err := readFile(path)
	if err != nil {
		o.fault(key, "%v", err)
	}
	return raw, path, err == nil
}

func (d *decoder) tls(o *object) {
	t := &TLS{}
	o.address("listen", &t.Listen)
	if t.Listen == "" {
		o.fault("listen", "is needed")
	}
	chain, _, haveChain := d.file(o, "certificate")
	key, keyPath, haveKey := d.file(o, "key")
	authorities, _, haveAuthorities := d.file(o, "authorities")
	var crls [][]byte
	for _, name := range o.texts("revocations") {
		if raw, _, ok := d.named(o, "revocations", name); ok {
			crls = append(crls, raw)
		}
	}
	o.flag("required", &t.Required)
	oldest := "1.2"
	o.word("oldest", &oldest, "1.2", "1.3")
	o.done()
	if haveAuthorities && d.config.Callers == nil {
		o.fault("authorities", "nobody would look at their certificates: there are no callers in the file")
	}
	if t.Required && !haveAuthorities {
		o.fault("authorities", "is needed where certificates are required")
	}
	if !haveChain || !haveKey {
		o.fault("certificate", "and key are needed, each the name of a PEM file")
		return
	}
	d.secret(o, "key", keyPath)
	if err := t.Read(chain, key, authorities, crls); err != nil {
		d.each(o.at("certificate"), err)
	}
	t.Only13 = oldest == "1.3"
	d.config.TLS = t
	if s := d.config.Callers; s != nil {
		s.Authorities, s.Revoked.Certificates = t.Prints, t.Revoked
	}
}

// secret refuses a file with a secret that others on the machine may read.
func (d *decoder) secret(o *object, key, path string) {
	if info, err := os.Stat(path); err == nil && info.Mode().Perm()&0o077 != 0 {
		o.fault(key, "%s holds a secret, and its mode %v lets others at it; make it 0600", path, info.Mode().Perm())
	}
}
