package operator

import (
	"net/netip"
	"path/filepath"

	"elderwall/fleet/members"
	"elderwall/internal/fleet"
	"elderwall/internal/strict"
)

const (
	leastPace   = 0.05 // s; below that a busy machine's own pauses are taken for stalls
	mostPace    = 30.0 // s
	mostPeers   = 64   // to begin with; the rest is heard from them
	longestName = 100  // bytes; a datagram has room for the names of several members
)

// fleet reads how this dispatcher knows the others.
func (d *decoder) fleet(o *strict.Object) {
	f := &fleet.Settings{Pace: members.DefaultInterval, Wire: fleet.Wire}
	o.Address("listen", &f.Listen)
	o.Address("address", &f.Address)
	o.Text("zone", &f.Zone)
	o.Duration("pace", &f.Pace, leastPace, mostPace)
	wire := int(f.Wire)
	o.Count("wire", &wire, fleet.Wire1, fleet.Wire)
	f.Wire = uint8(wire)
	if f.Peers = o.Texts("peers"); len(f.Peers) > mostPeers {
		o.Fault("peers", "%d, at most %d", len(f.Peers), mostPeers)
	}
	for _, p := range f.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			o.Fault("peers", "%q is no address with a port", p)
		}
	}
	if f.Reach = o.Pairs("reach"); len(f.Reach) > members.Most {
		o.Fault("reach", "%d, at most %d", len(f.Reach), members.Most)
	}
	for from, to := range f.Reach {
		for _, a := range []string{from, to} {
			if _, err := netip.ParseAddrPort(a); err != nil {
				o.Fault("reach", "%q is no address with a port", a)
			}
		}
	}
	if o.Text("key", &f.Key) {
		path := f.Key
		if !filepath.IsAbs(path) {
			path = filepath.Join(d.folder, path)
		}
		keys, err := fleet.ReadKeys(path)
		if err != nil {
			o.Fault("key", "%v", err)
		}
		f.Keys = keys
	}
	if o.Text("remember", &f.Remember) && !filepath.IsAbs(f.Remember) {
		f.Remember = filepath.Join(d.folder, f.Remember)
	}
	o.Done()
	if len(f.Zone) > longestName {
		o.Fault("zone", "%d bytes, at most %d", len(f.Zone), longestName)
	}
	if f.Listen == "" {
		o.Fault("listen", "is needed")
	} else if err := f.Check(); err != nil {
		d.Each([]string{"fleet"}, err)
	}
	d.config.Fleet = f
}
