package operator

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	pure "elderwall/core/cluster/variant"
	"elderwall/internal/configfile"
	"elderwall/internal/downstream"
	"elderwall/internal/hostproto"
	"elderwall/internal/thrift"
	"elderwall/internal/variantfilter"
)

const (
	objectsDefault = 100_000        // in the table of variants
	mostFresh      = 30 * 24 * 3600 // s
	untilPurged    = "until purged" // contents change with purges alone
)

var (
	classPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$`)
	fieldPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]{0,62}$`)
)

// Variants is which device classes there are, and where they are named.
type Variants struct {
	variantfilter.Settings
	Devices downstream.Devices
	headers map[string]string // by delivery service
}

// Repeatable tells of variants that are declared for a delivery service whose GETs may not be repeated; repeats is by the services' place.
// Guards against a declaration that is passed over in silence: a GET that gets another class's copy may have to be sent anew.
func (v *Variants) Repeatable(services []string, repeats []bool) error {
	var faults []error
	for i, of := range v.Module.Services {
		if len(of.Classes) > 0 && i < len(repeats) && !repeats[i] {
			faults = append(faults, fmt.Errorf("fleet.variants.services.%s: its GETs are tokened or non-idempotent, and are never sent for another class: take it out", services[i]))
		}
	}
	return errors.Join(faults...)
}

// variants reads which device classes may share copies of an object.
func (d *decoder) variants(o *configfile.Object) {
	to := &Variants{headers: map[string]string{}}
	to.Module.Services = make([]pure.Service, len(d.services))
	to.Module.Self = "check" // until the dispatcher's is known
	to.Fields = make([]string, len(d.services))
	to.Devices.By = map[string]downstream.Device{}
	to.Module.MaxObjects = objectsDefault
	o.Count("objects", &to.Module.MaxObjects, 1, pure.MaxObjects)
	in := o.Inner("services")
	if in == nil || len(in.Keys()) == 0 {
		o.Fault("services", "is needed: the delivery services that have variants")
	} else {
		for _, name := range in.Keys() {
			if one := in.Inner(name); one != nil {
				d.variantsOf(in, name, one, to)
			}
		}
	}
	o.Done()
	d.config.Variants = to
}

// variantsOf reads the variants of one delivery service.
func (d *decoder) variantsOf(in *configfile.Object, name string, o *configfile.Object, to *Variants) {
	place := slices.Index(d.services, name)
	if place < 0 && !d.open {
		in.Fault(name, "%q is no delivery service", name)
	}
	v := pure.Service{Classes: o.Texts("classes"), Witnesses: 1, Idempotent: true}
	var field, header, host string
	o.Text("field", &field)
	if header = strings.ToLower(field); !fieldPattern.MatchString(field) || thrift.Known(field) {
		o.Fault("field", "is needed, the name of a field or header that tells the class of a client's device and nothing else")
	}
	o.Text("host_field", &host)
	if !fieldPattern.MatchString(host) || hostproto.Known(host) {
		o.Fault("host_field", "is needed, the name of a field that tells a cache host the class and nothing else")
	}
	v.Proof = d.proof(o)
	o.Count("witnesses", &v.Witnesses, 1, pure.MaxWitnesses)
	if text, _ := o.Get("fresh"); text == untilPurged {
		v.EvidenceTTL = math.Inf(1)
	} else {
		o.Duration("fresh", &v.EvidenceTTL, 0, mostFresh)
	}
	if p := o.Inner("presume"); p != nil {
		v.Presumption = readPresumed(p)
	}
	o.Done()
	device := downstream.Device{Classes: deviceClasses(o, v.Classes)}
	one := pure.Settings{Services: []pure.Service{v}, MaxObjects: 1, Self: "check"}
	if _, err := pure.New(one); err != nil && v.Proof != 0 {
		d.Each(in.At(name), err)
	}
	if device.Field = slices.Index(to.Devices.Fields, field); device.Field < 0 {
		device.Field = len(to.Devices.Fields)
		if to.Devices.Fields = append(to.Devices.Fields, field); device.Field >= thrift.MostAlso {
			in.Fault(name, "over %d different fields", thrift.MostAlso)
		}
	}
	to.Devices.By[name], to.headers[name] = device, header
	if place >= 0 {
		to.Module.Services[place], to.Fields[place] = v, host
	}
}

// proof reads what shows that two copies are the same.
func (d *decoder) proof(o *configfile.Object) pure.ProofKind {
	var word string
	o.Word("proof", &word, "tag", "digest", "body")
	proof := map[string]pure.ProofKind{"tag": pure.ProofByTag, "digest": pure.ProofByDigest, "body": pure.ProofByBody}[word]
	if word == "" {
		o.Fault("proof", "is needed, one of tag, digest and body")
	}
	if p := d.config.Proxies; proof == pure.ProofByBody && p != nil && p.Rules.Routing {
		o.Fault("proof", "no bodies pass here where proxies send: it must be tag or digest")
	}
	return proof
}

// readPresumed reads from how many objects on variants are presumed, and how often that is checked.
func readPresumed(o *configfile.Object) *pure.Presumption {
	p := &pure.Presumption{MinObjects: 100, MinCheckShare: 0.01}
	o.Count("objects", &p.MinObjects, 1, pure.MaxObjects)
	o.Number("checks", &p.MinCheckShare, 1e-6, 1)
	o.Done()
	return p
}

// deviceClasses checks the names of classes, and returns each by the value of the field that names it, which is the same.
func deviceClasses(o *configfile.Object, names []string) map[string]string {
	if len(names) < 2 {
		o.Fault("classes", "two at least are needed, the first of them preferred to stand for others")
	}
	classes := map[string]string{}
	for _, name := range names {
		if !classPattern.MatchString(name) {
			o.Fault("classes", `%.40q must be letters, digits, ".", "_" and "-", 32 at most`, name)
		}
		classes[name] = name
	}
	return classes
}
