package operator

import (
	"errors"
	"os"

	"elderwall/core/cluster/channel"
	"elderwall/internal/cluster"
	"elderwall/internal/configfile"
)

// What a channel is kept by where its declaration does not say.
const (
	defaultEntries   = 10_000
	defaultBytes     = int64(8 << 20)
	defaultKept      = 3600.0  // s
	defaultReadWait  = 2.0     // s
	defaultForget    = 86400.0 // s
	longestTotal     = 100 - len(channel.DutyPrefix)
	mostGenerations  = 1<<31 - 1
	wordLatest       = "latest"
	wordToldOrClosed = "told"
)

var orders = map[string]channel.Order{wordLatest: channel.Latest, "key": channel.ByKey, "sender": channel.BySender, "causal": channel.Causal, "total": channel.Total}

// channels reads the declarations of the operator's own channels.
func (d *decoder) channels(o *configfile.Object) *cluster.Channels {
	to := &cluster.Channels{}
	for _, name := range o.Keys() {
		if in := o.Inner(name); in != nil {
			to.Declared = append(to.Declared, declaration(d.Faults, o, in, name))
		}
	}
	o.Done()
	return to
}

func declaration(f *configfile.Faults, o, in *configfile.Object, name string) channel.Declaration {
	order, gaps, repeats, slow := "", "never", "never", "cut"
	generation, entries, bytes := 1, defaultEntries, defaultBytes
	d := channel.Declaration{Name: name, RetainedSeconds: defaultKept, OrderWait: defaultReadWait}
	in.Word("order", &order, wordLatest, "key", "sender", "causal", "total")
	if order == wordLatest {
		gaps = wordToldOrClosed
	}
	in.Word("gaps", &gaps, "never", wordToldOrClosed)
	if gaps == wordToldOrClosed {
		slow = wordToldOrClosed
	}
	in.Word("repeats", &repeats, "never", "allowed")
	in.Word("slow", &slow, "cut", wordToldOrClosed)
	in.Count("generation", &generation, 1, mostGenerations)
	in.Count("entries", &entries, 0, channel.MaxRetainedEntries)
	in.Size("bytes", &bytes, 0, channel.MaxRetainedBytes)
	in.Duration("time", &d.RetainedSeconds, 0, channel.MaxRetainedSeconds)
	in.Duration("wait", &d.OrderWait, 0, channel.MaxOrderWait)
	in.Flag("end", &d.Withdrawn)
	if d.Order = orders[order]; d.Order < channel.Causal {
		d.WriterExpiry = defaultForget
	}
	in.Duration("forget", &d.WriterExpiry, 0, channel.MaxWriterExpiry)
	in.Done()
	d.Order, d.Generation, d.AllowGaps, d.AllowRepeats, d.DisconnectSlow = orders[order], uint64(generation), gaps == wordToldOrClosed, repeats == "allowed", slow == "cut"
	d.RetainedEntries, d.RetainedBytes = entries, int(bytes)
	if err := d.Check(); err != nil {
		f.Each(o.At(name), err)
	}
	if d.Order == channel.Total && len(name) > longestTotal {
		o.Fault(name, "with total order a name has at most %d bytes", longestTotal)
	}
	return d
}

// ReadDeclarations reads a file of declarations alone: an object of channels, as under fleet.channels.
func ReadDeclarations(path string) ([]channel.Declaration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	o, faults, err := configfile.Open(path, string(text))
	if err != nil {
		return nil, err
	}
	d := &decoder{Faults: faults}
	all := d.channels(o).Declared
	return all, errors.Join(faults.All...)
}
