package operator

import (
	"net/netip"
	"path/filepath"
	"strings"

	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/quota"
	"elderwall/internal/cluster"
	"elderwall/internal/configfile"
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
	readPeers(o, f)
	readReach(o, f)
	d.fleetFiles(o, f)
	d.sharedState(o, f)
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

// readPeers reads the addresses of the dispatchers that this one joins by.
func readPeers(o *configfile.Object, f *cluster.Settings) {
	if f.Peers = o.Texts("peers"); len(f.Peers) > mostPeers {
		o.Fault("peers", "%d, at most %d", len(f.Peers), mostPeers)
	}
	for _, p := range f.Peers {
		requireAddress(o, "peers", p)
	}
}

// readReach reads the addresses at which others are reached from here, by those that they give.
func readReach(o *configfile.Object, f *cluster.Settings) {
	if f.Reach = o.Pairs("reach"); len(f.Reach) > membership.MaxMembers {
		o.Fault("reach", "%d, at most %d", len(f.Reach), membership.MaxMembers)
	}
	for from, to := range f.Reach {
		requireAddress(o, "reach", from)
		requireAddress(o, "reach", to)
	}
}

func requireAddress(o *configfile.Object, key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		o.Fault(key, "%q is no address with a port", address)
	}
}

// fleetFiles reads the key file, and where the members are stored.
func (d *decoder) fleetFiles(o *configfile.Object, f *cluster.Settings) {
	if o.Text("key", &f.Key) {
		keys, err := cluster.ReadKeys(d.inFolder(f.Key))
		if err != nil {
			o.Fault("key", "%v", err)
		}
		f.Keys = keys
	}
	if o.Text("remember", &f.Remember) {
		f.Remember = d.inFolder(f.Remember)
	}
}

// inFolder is a path of the file, which is relative to the file's own folder unless it is absolute.
func (d *decoder) inFolder(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(d.folder, path)
}

// sharedState reads what the dispatchers share: duties, budgets, memory, variants and channels.
func (d *decoder) sharedState(o *configfile.Object, f *cluster.Settings) {
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
	if o.Text("folder", &to.Folder) {
		to.Folder = d.inFolder(to.Folder)
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
		if one := in.Inner(name); one != nil {
			to.All = append(to.All, readBudget(in, name, one, to.Uses, rates))
		}
	}
	for of, names := range rates { // behind those under way, which can be given back
		to.Uses[of] = append(to.Uses[of], names...)
	}
	checkBudgets(o, to)
	o.Done()
	return to
}

// checkBudgets adds the faults of all budgets together.
func checkBudgets(o *configfile.Object, all *cluster.Budgets) {
	for _, names := range all.Uses {
		if len(names) > 2 {
			o.Fault("wholes", "%s: more than two bound one use", strings.Join(names, ", "))
		}
	}
	if n := len(all.Hosts()); n > quota.MaxHosts {
		o.Fault("wholes", "%d bound the origin or a host, at most %d", n, quota.MaxHosts)
	}
	if len(all.All) > quota.MaxBudgets {
		o.Fault("wholes", "%d, at most %d", len(all.All), quota.MaxBudgets)
	}
}

// readBudget reads one budget, and adds its name to what bounds its use: to rates for a budget of a rate, else to uses.
func readBudget(in *configfile.Object, name string, o *configfile.Object, uses, rates map[string][]string) quota.Budget {
	b := quota.Budget{Name: name}
	kinds := readWhole(o, &b)
	if kinds != 1 {
		in.Fault(name, "needs one of most, rate and amount")
	}
	readBounds(o, &b)
	var of string
	if o.Text("of", &of); of != "" && checkUse(o, of, b.Kind) {
		bounding := uses
		if b.Kind == quota.Rate {
			bounding = rates
		}
		bounding[of] = append(bounding[of], name)
	}
	o.Done()
	if err := b.Check(); err != nil && kinds == 1 {
		in.Fault(name, "%v", err)
	}
	return b
}

// readWhole reads a budget's kind and whole, and returns how many kinds are given; the last of them counts.
func readWhole(o *configfile.Object, b *quota.Budget) (kinds int) {
	most, amount, rate := -1, -1, -1.0
	o.Count("most", &most, 0, 1<<31-1)
	o.Number("rate", &rate, 0, mostRate)
	o.Count("amount", &amount, 0, 1<<50)
	if most >= 0 {
		b.Kind, b.Total = quota.InFlight, int64(most)
		kinds++
	}
	if rate >= 0 {
		b.Kind, b.Total = quota.Rate, int64(rate*float64(quota.RateUnits))
		kinds++
	}
	if amount >= 0 {
		b.Kind, b.Total = quota.Amount, int64(amount)
		kinds++
	}
	return kinds
}

// readBounds reads a budget's burst, window, and bounds of each part, in the units of its kind.
func readBounds(o *configfile.Object, b *quota.Budget) {
	var burst, floor, ceiling int
	o.Count("burst", &burst, 0, 1<<31-1)
	o.Count("floor", &floor, 0, 1<<31-1)
	o.Count("ceiling", &ceiling, 0, 1<<31-1)
	o.Duration("window", &b.Window, 1, 31*24*3600)
	unit := int64(1)
	if b.Kind == quota.Rate {
		unit = quota.RateUnits
	}
	b.Burst, b.Floor, b.Ceiling = int64(burst), int64(floor)*unit, int64(ceiling)*unit
}

// checkUse tells whether a budget of a kind may bound a use; else it adds the fault.
func checkUse(o *configfile.Object, of string, kind quota.Kind) bool {
	tenant := strings.HasPrefix(of, quota.UseTenant) && len(of) > len(quota.UseTenant)
	host := strings.HasPrefix(of, quota.UseHost) && len(of) > len(quota.UseHost) || of == quota.UseOrigin
	switch {
	case kind == quota.Amount, host && kind != quota.InFlight, of == quota.UseRetries && kind != quota.Rate:
		o.Fault("of", "%q can't be bounded by that: a tenant by most or rate, the origin and a host by most, retries by rate", of)
		return false
	case !host && of != quota.UseRetries && !tenant:
		o.Fault("of", "%q is none of origin, host:NAME, retries and tenant:NAME", of)
		return false
	}
	return true
}

// duties reads which duties this dispatcher stands for, and whether it votes on them.
func (d *decoder) duties(o *configfile.Object) *cluster.Duties {
	to := &cluster.Duties{Stands: map[string]float64{}, Report: cluster.ReportEach}
	o.Flag("voter", &to.Voter)
	if o.Text("folder", &to.Folder); to.Folder != "" {
		to.Folder = d.inFolder(to.Folder)
	}
	if to.Voter && to.Folder == "" {
		o.Fault("folder", "is needed where it votes: its log and votes must outlast a crash")
	}
	o.Count("priority", &to.Priority, -1000, 1000)
	o.Duration("report", &to.Report, 1, 24*3600)
	if in := o.Inner("stands"); in != nil {
		for _, name := range in.Keys() {
			var term float64
			in.Duration(name, &term, lease.MinLeaseLength, lease.MaxLeaseLength)
			if to.Stands[name] = term; name == "" || len(name) > lease.MaxNameBytes {
				o.Fault("stands", "%.20q must have 1 to %d bytes", name, lease.MaxNameBytes)
			}
		}
		if len(to.Stands) > lease.MaxDuties {
			o.Fault("stands", "%d, at most %d", len(to.Stands), lease.MaxDuties)
		}
	}
	o.Done()
	return to
}
