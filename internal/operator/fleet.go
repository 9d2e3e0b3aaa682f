package operator

import (
	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/quota"
	"elderwall/internal/cluster"
	"elderwall/internal/configfile"
	"net/netip"
	"path/filepath"
	"strings"
)

const (
	leastPace   = 0.05 // s; below that a busy machine's own pauses are taken for stalls
	mostPace    = 30.0 // s
	mostPeers   = 64   // to begin with; the rest is heard from them
	longestName = 100  // bytes; a datagram has room for the names of several members
)

// fleet reads how this dispatcher knows the others.
func (d *decoder) fleet(o *configfile.Object) {
	f := &cluster.Settings{Pace: membership.DefaultInterval, Wire: cluster.Wire}
	o.Address("listen", &f.Listen)
	o.Address("address", &f.Address)
	o.Text("zone", &f.Zone)
	o.Duration("pace", &f.Pace, leastPace, mostPace)
	wire := int(f.Wire)
	o.Count("wire", &wire, cluster.Wire1, cluster.Wire)
	f.Wire = uint8(wire)
	if f.Peers = o.Texts("peers"); len(f.Peers) > mostPeers {
		o.Fault("peers", "%d, at most %d", len(f.Peers), mostPeers)
	}
	for _, p := range f.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			o.Fault("peers", "%q is no address with a port", p)
		}
	}
	if f.Reach = o.Pairs("reach"); len(f.Reach) > membership.Most {
		o.Fault("reach", "%d, at most %d", len(f.Reach), membership.Most)
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
		keys, err := cluster.ReadKeys(path)
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
	if in := o.Inner("budgets"); in != nil {
		if f.Budgets = d.budgets(in); f.Duties == nil {
			o.Fault("duties", "is needed where budgets are divided: its log keeps who has what")
		}
	}
	if in := o.Inner("memory"); in != nil {
		f.Memory = d.memory(in)
	}
	if in := o.Inner("variants"); in != nil {
		d.variants(in)
	}
	if in := o.Inner("channels"); in != nil {
		if f.Channels = d.channels(in); f.Duties == nil || f.Memory == nil {
			o.Fault("channels", "needs duties and memory: its log has what is declared, its records the entries")
		}
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

const (
	leastHorizon    = 10.0          // s; below that a restart counts as an absence
	mostHorizon     = 7 * 24 * 3600 // s; deletions are kept so long
	leastMemoryRate = 16 << 10      // bytes a second; a whole state of many megabytes would take hours
	mostMemoryRate  = 256 << 20     // bytes a second
)

// memory reads how this dispatcher remembers with the others.
func (d *decoder) memory(o *configfile.Object) *cluster.Memory {
	to := &cluster.Memory{Horizon: cluster.DefaultHorizon, Rate: cluster.DefaultRate}
	if o.Text("folder", &to.Folder) && !filepath.IsAbs(to.Folder) {
		to.Folder = filepath.Join(d.folder, to.Folder)
	}
	o.Duration("horizon", &to.Horizon, leastHorizon, mostHorizon)
	o.Size("rate", &to.Rate, leastMemoryRate, mostMemoryRate)
	o.Done()
	return to
}

const (
	leastTail   = 0.1  // s
	mostTail    = 30.0 // s
	defaultTail = 10.0 // s; longer than any usual viewer timeout
)

// budgets reads the wholes that all dispatchers divide among them.
func (d *decoder) budgets(o *configfile.Object) *cluster.Budgets {
	to := &cluster.Budgets{Generation: 1, Tail: defaultTail, Uses: map[string][]string{}}
	generation := 1
	o.Count("generation", &generation, 1, 1<<31-1)
	to.Generation = uint64(generation)
	o.Duration("tail", &to.Tail, leastTail, mostTail)
	in := o.Inner("wholes")
	if in == nil {
		o.Fault("wholes", "is needed")
		o.Done()
		return to
	}
	rates := map[string][]string{}
	for _, name := range in.Keys() {
		one := in.Inner(name)
		if one == nil {
			continue
		}
		b := quota.Budget{Name: name}
		most, amount, rate := -1, -1, -1.0
		one.Count("most", &most, 0, 1<<31-1)
		one.Number("rate", &rate, 0, mostRate)
		one.Count("amount", &amount, 0, 1<<50)
		kinds := 0
		if most >= 0 {
			b.Kind, b.Whole = quota.UnderWay, int64(most)
			kinds++
		}
		if rate >= 0 {
			b.Kind, b.Whole = quota.Rate, int64(rate*float64(quota.Thousand))
			kinds++
		}
		if amount >= 0 {
			b.Kind, b.Whole = quota.Amount, int64(amount)
			kinds++
		}
		if kinds != 1 {
			in.Fault(name, "needs one of most, rate and amount")
		}
		var burst, floor, ceiling int
		var of string
		one.Count("burst", &burst, 0, 1<<31-1)
		one.Count("floor", &floor, 0, 1<<31-1)
		one.Count("ceiling", &ceiling, 0, 1<<31-1)
		one.Duration("window", &b.Window, 1, 31*24*3600)
		unit := int64(1)
		if b.Kind == quota.Rate {
			unit = quota.Thousand
		}
		b.Burst, b.Floor, b.Ceiling = int64(burst), int64(floor)*unit, int64(ceiling)*unit
		if one.Text("of", &of); of != "" {
			tenant := strings.HasPrefix(of, quota.UseTenant) && len(of) > len(quota.UseTenant)
			host := strings.HasPrefix(of, quota.UseHost) && len(of) > len(quota.UseHost) || of == quota.UseOrigin
			switch {
			case b.Kind == quota.Amount, host && b.Kind != quota.UnderWay, of == quota.UseRetries && b.Kind != quota.Rate:
				one.Fault("of", "%q can't be bounded by that: a tenant by most or rate, the origin and a host by most, retries by rate", of)
			case !host && of != quota.UseRetries && !tenant:
				one.Fault("of", "%q is none of origin, host:NAME, retries and tenant:NAME", of)
			case b.Kind == quota.Rate:
				rates[of] = append(rates[of], name)
			default:
				to.Uses[of] = append(to.Uses[of], name)
			}
		}
		one.Done()
		if err := b.Check(); err != nil && kinds == 1 {
			in.Fault(name, "%v", err)
		}
		to.All = append(to.All, b)
	}
	for of, names := range rates { // behind those under way, which can be given back
		to.Uses[of] = append(to.Uses[of], names...)
	}
	for _, names := range to.Uses {
		if len(names) > 2 {
			o.Fault("wholes", "%s: more than two bound one use", strings.Join(names, ", "))
		}
	}
	if n := len(to.Hosts()); n > quota.MostHosts {
		o.Fault("wholes", "%d bound the origin or a host, at most %d", n, quota.MostHosts)
	}
	if len(to.All) > quota.MostBudgets {
		o.Fault("wholes", "%d, at most %d", len(to.All), quota.MostBudgets)
	}
	o.Done()
	return to
}

// duties reads which duties this dispatcher stands for, and whether it votes on them.
func (d *decoder) duties(o *configfile.Object) *cluster.Duties {
	to := &cluster.Duties{Stands: map[string]float64{}, Report: cluster.ReportEach}
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
			var term float64
			in.Duration(name, &term, lease.LeastTime, lease.MostTime)
			if to.Stands[name] = term; name == "" || len(name) > lease.LongestName {
				o.Fault("stands", "%.20q must have 1 to %d bytes", name, lease.LongestName)
			}
		}
		if len(to.Stands) > lease.MostDuties {
			o.Fault("stands", "%d, at most %d", len(to.Stands), lease.MostDuties)
		}
	}
	o.Done()
	return to
}
