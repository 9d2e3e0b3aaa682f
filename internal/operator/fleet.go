package operator

import (
	"net/netip"
	"path/filepath"

	"elderwall/fleet/duties"
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
	if in := o.Inner("duties"); in != nil {
		f.Duties = d.duties(in)
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

// duties reads which duties this dispatcher stands for, and whether it votes on them.
func (d *decoder) duties(o *strict.Object) *fleet.Duties {
	to := &fleet.Duties{Stands: map[string]float64{}, Report: fleet.ReportEach}
	o.Flag("voter", &to.Voter)
	if o.Text("folder", &to.Folder); to.Folder != "" && !filepath.IsAbs(to.Folder) {
		to.Folder = filepath.Join(d.folder, to.Folder)
	}
	if to.Voter && to.Folder == "" {
		o.Fault("folder", "is needed where it votes: its log and votes must outlast a crash")
	}
	o.Count("priority", &to.Priority, -1000, 1000)
	o.Duration("report", &to.Report, 1, 24*3600)
	if in := o.Inner("stands"); in != nil {
		for _, name := range in.Keys() {
			var lease float64
			in.Duration(name, &lease, duties.LeastTime, duties.MostTime)
			if to.Stands[name] = lease; name == "" || len(name) > duties.LongestName {
				o.Fault("stands", "%.20q must have 1 to %d bytes", name, duties.LongestName)
			}
		}
		if len(to.Stands) > duties.MostDuties {
			o.Fault("stands", "%d, at most %d", len(to.Stands), duties.MostDuties)
		}
	}
	o.Done()
	return to
}
