// Package operator reads an operator's own file: what an installation adds to the platform's configuration. It is
// Jsonnet, decoded strictly: an unknown key, a missing unit or a value out of range is a fault, and all faults of the
// file and of the files that it names come at once. It decides nothing; what is told nothing of has the modules' own
// defaults.
package operator

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"

	"elderwall/core/admission"
	"elderwall/core/routing/retrybudget"
	"elderwall/core/sharding"
	"elderwall/internal/certs"
	"elderwall/internal/cluster"
	"elderwall/internal/configfile"
	"elderwall/internal/extproc"
	"elderwall/internal/service"
	"elderwall/internal/token"
)

const mostCores = 256 // of a machine; as many shards would each see hardly a GET of an item

const longestFile = 64 << 20 // bytes; a hundred thousand tenants with room

// Config is what the file says.
type Config struct {
	Callers  *admission.Settings   // nil where nobody asks who is calling
	Keys     map[string]*token.Key // that tokens may be signed by
	TLS      *TLS                  // nil where there is no listener for it
	Cores    service.Cores
	Joins    []bool // by delivery service, whether GETs for the same part share a forward; nil for none
	Retries  retrybudget.Settings
	Proxies  *Proxies          // nil where none may ask
	Variants *Variants         // nil where no device classes are declared
	Fleet    *cluster.Settings // nil where the dispatcher is by itself

	Generation uint32 // of the file: a hash of its text
}

// Proxies is the listener for proxies that ask for each request, with what is said of them.
type Proxies struct {
	Listen string
	extproc.Options
	Material *certs.Material // nil for a plain one
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
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return decode(path, string(text), services)
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > longestFile {
		return nil, fmt.Errorf("%s: %d bytes, at most %d", path, info.Size(), longestFile)
	}
	return os.ReadFile(path)
}

// decoder holds what the parts of a file share.
type decoder struct {
	*configfile.Faults
	folder   string
	services []string
	open     bool // services are not known: those named are taken as they come
	config   Config
}

func decode(path, text string, services []string) (*Config, error) {
	o, faults, err := configfile.Open(path, text)
	if err != nil {
		return nil, err
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(text))
	d := &decoder{
		config: Config{Generation: sum.Sum32()}, Faults: faults, folder: filepath.Dir(path), services: services,
		open: len(services) == 0,
	}
	if c := o.Inner("callers"); c != nil {
		d.callers(c)
	}
	if t := o.Inner("tls"); t != nil {
		d.tls(t)
	}
	d.joins(o)
	if r := o.Inner("retries"); r != nil {
		d.config.Retries = retrybudget.Default()
		r.Number("share", &d.config.Retries.Share, 0.001, 10)
		r.Rate("floor", &d.config.Retries.Floor, 0.1, mostRate)
		r.Done()
	}
	if p := o.Inner("proxies"); p != nil {
		d.proxies(p)
	}
	if f := o.Inner("fleet"); f != nil {
		d.fleet(f)
	}
	if v, p := d.config.Variants, d.config.Proxies; v != nil && p != nil {
		p.Rules.Devices = v.headers
	}
	if c := o.Inner("cores"); c != nil {
		d.cores(c)
	}
	o.Done()
	if s := d.config.Callers; s != nil {
		if err := s.Check(); err != nil {
			d.Each([]string{"callers"}, err)
		}
	}
	return &d.config, errors.Join(d.All...)
}

// joins reads the delivery services whose GETs share forwards.
func (d *decoder) joins(o *configfile.Object) {
	for _, name := range o.Texts("joins") {
		place := slices.Index(d.services, name)
		if place < 0 && !d.open {
			o.Fault("joins", "%q is no delivery service", name)
		}
		if d.config.Joins == nil {
			d.config.Joins = make([]bool, len(d.services))
		}
		if place >= 0 {
			d.config.Joins[place] = true
		}
	}
}

// file reads a file that a key names, beside the operator's own.
func (d *decoder) file(o *configfile.Object, key string) (raw []byte, path string, ok bool) {
	var name string
	if !o.Text(key, &name) {
		return nil, "", false
	}
	return d.named(o, key, name)
}

func (d *decoder) named(o *configfile.Object, key, name string) (raw []byte, path string, ok bool) {
	if path = name; !filepath.IsAbs(path) {
		path = filepath.Join(d.folder, path)
	}
	raw, err := readFile(path)
	if err != nil {
		o.Fault(key, "%v", err)
	}
	return raw, path, err == nil
}

// cores reads how many cores are used, and how GETs are divided among shards.
func (d *decoder) cores(o *configfile.Object) {
	c, way := &d.config.Cores, "items"
	o.Count("count", &c.Count, 1, mostCores)
	c.Shards = c.Count
	o.Count("shards", &c.Shards, 1, mostCores)
	o.Word("divided", &way, "items", "connections")
	if way == "connections" {
		c.Way = sharding.ByConnection
	}
	o.Done()
}

func (d *decoder) tls(o *configfile.Object) {
	t := &TLS{}
	o.Address("listen", &t.Listen)
	if t.Listen == "" {
		o.Fault("listen", "is needed")
	}
	var crls [][]byte
	for _, name := range o.Texts("revocations") {
		if raw, _, ok := d.named(o, "revocations", name); ok {
			crls = append(crls, raw)
		}
	}
	oldest := "1.2"
	o.Word("oldest", &oldest, "1.2", "1.3")
	if _, told := o.Get("authorities"); told && d.config.Callers == nil {
		o.Fault("authorities", "nobody would look at their certificates: there are no callers in the file")
	}
	if !d.material(o, &t.Material, crls) {
		return
	}
	t.Only13 = oldest == "1.3"
	d.config.TLS = t
	if s := d.config.Callers; s != nil {
		s.Authorities, s.Revoked.Certificates = t.Prints, t.Revoked
	}
}

// material reads the certificates of a listener; the rest of its keys has been asked for before. One fault is told once: a file that can't be
// read is not missed a second time by what needs it.
func (d *decoder) material(o *configfile.Object, m *certs.Material, crls [][]byte) bool {
	chain, _, haveChain := d.file(o, "certificate")
	key, keyPath, haveKey := d.file(o, "key")
	authorities, _, haveAuthorities := d.file(o, "authorities")
	o.Flag("required", &m.Required)
	o.Done()
	told := func(key string) bool { _, ok := o.Get(key); return ok }
	if m.Required && !told("authorities") {
		o.Fault("authorities", "is needed where certificates are required")
	}
	if !told("certificate") || !told("key") {
		o.Fault("certificate", "and key are needed, each the name of a PEM file")
	}
	if haveKey {
		d.secret(o, "key", keyPath)
	}
	if !haveChain || !haveKey || told("authorities") && !haveAuthorities {
		return false
	}
	if err := m.Read(chain, key, authorities, crls); err != nil {
		d.Each(o.At("certificate"), err)
	}
	return true
}

// secret refuses a file with a secret that others on the machine may read.
func (d *decoder) secret(o *configfile.Object, key, path string) {
	if info, err := os.Stat(path); err == nil && info.Mode().Perm()&0o077 != 0 {
		o.Fault(key, "%s holds a secret, and its mode %v lets others at it; make it 0600", path, info.Mode().Perm())
	}
}
