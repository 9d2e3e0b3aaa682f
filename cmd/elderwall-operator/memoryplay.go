package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/replication"
	"elderwall/emulator"
	"elderwall/internal/chart"
	"elderwall/internal/table"
)

// memoryPlayCommand plays what dispatchers remember together, with no sockets.
type memoryPlayCommand struct {
	What        []string `default:"writes,heal,catchup,record,copies,variants,channels" help:"What is played."`
	Members     []int    `default:"3,30,300" help:"Sizes of the fleet, of writes, heal and copies; 1,000 takes minutes."`
	Records     int      `default:"100000" help:"Records that there are, of catchup, record and copies."`
	Differ      []int    `default:"10,100,1000,10000" help:"Records that differ, of catchup."`
	Writes      float64  `default:"10" help:"Writes a second of the whole fleet, of writes and heal."`
	Loss        float64  `help:"Share of datagrams that are lost, of writes and heal."`
	Ways        []string `default:"keys by class,one key,each alone,fleet,beats,presume,evidence at once,ideal" help:"Of variants."`
	Dispatchers int      `default:"300" help:"Of variants."`
	Cases       []string `default:"calm,changes,silent,silent long,new objects,new all kept,two witnesses,cut" help:"Of variants."`
	Processes   []int    `default:"3,30" help:"Sizes of the fleet, of channels."`
	Readers     []int    `default:"10,100,1000" help:"Of channels."`
	Troubles    []string `default:"half cut off;a tenth ends, disks kept;a tenth ends, disks emptied;a tenth ends, older disks" sep:";" help:"Of heal."`
	Seed        uint64   `default:"1" help:"Of chance."`
	Charts      string   `help:"Where charts go, as SVG." type:"path" placeholder:"FOLDER"`
	JSON        string   `help:"Where the results go as JSON." type:"path" placeholder:"FILE"`
}

// Run plays all of them, and prints a table of each.
func (c *memoryPlayCommand) Run() error {
	all := map[string]any{}
	for _, what := range c.What {
		play, ok := map[string]func() (any, error){
			"writes": c.writes, "heal": c.heal, "catchup": c.catchup, "record": c.record, "copies": c.copies,
			"variants": c.variants, "channels": c.channels,
		}[what]
		if !ok {
			return fmt.Errorf("nothing is called %q", what)
		}
		result, err := play()
		if err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
		all[what] = result
	}
	return writeResults(c.JSON, all)
}

// sizeOf is what a message takes on its way, without seals.
func sizeOf(m *replication.Message) int {
	b, err := cbor.Marshal(m)
	if err != nil {
		return 0 // the machines' messages are all of plain fields
	}
	return len(b)
}

// sheet prints a table in Markdown.
type sheet struct{ *table.Writer }

func newSheet(title string, columns ...any) sheet {
	fmt.Println(title)
	s := sheet{table.New(os.Stdout, 1, 0)}
	s.row(columns...)
	line := make([]any, len(columns))
	for i := range line {
		line[i] = "---"
	}
	s.row(line...)
	return s
}

func (s sheet) row(cells ...any) {
	for _, c := range cells {
		if f, ok := c.(float64); ok {
			c = fmt.Sprintf("%.4g", f)
		}
		s.Printf("| %v\t", c)
	}
	s.Println("|")
}

func (s sheet) end() { _ = s.Flush(); fmt.Println() }

// part is the value at a share of a sorted list.
func part(l []float64, share float64) float64 {
	if len(l) == 0 {
		return 0
	}
	return l[min(int(share*float64(len(l))), len(l)-1)]
}

func (c *memoryPlayCommand) draw(name, title string, x, y chart.Axis, all []chart.Series) error {
	if c.Charts == "" {
		return nil
	}
	return chart.Lines(filepath.Join(c.Charts, name+".svg"), title, x, y, all)
}

// together plays so many at once, each by itself; it gives the first error.
func together(n int, play func(i int) error) error {
	var all sync.WaitGroup
	room, errs := make(chan struct{}, max(1, runtime.NumCPU()/2)), make([]error, n)
	for i := range n {
		all.Go(func() {
			room <- struct{}{}
			errs[i] = play(i)
			<-room
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *memoryPlayCommand) fleet(n int) emulator.MemoryScenario {
	s := emulator.MemoryDefault()
	s.Seed, s.Members, s.Writes, s.Loss, s.Size, s.Checks = c.Seed, n, c.Writes, c.Loss, sizeOf, n < 1000
	if s.Span = 60; n >= 1000 {
		s.Span = 30
	}
	return s
}

func (c *memoryPlayCommand) writes() (any, error) {
	all := make([]*emulator.MemoryResult, len(c.Members))
	if err := together(len(all), func(i int) (err error) {
		all[i], err = emulator.RunMemory(c.fleet(c.Members[i]))
		return err
	}); err != nil {
		return nil, err
	}
	t := newSheet(fmt.Sprintf("simulated: %g writes/s of 100 bytes, all members together", c.Writes), "members", "idle bytes/s", "bytes/s a member", "busiest", "messages/s", "two have it ms", "99% ms",
		"most ms", "99% ms", "all s", "99% s", "as sure as wanted", "not", "faults")
	course := chart.Series{Name: "with writes"}
	idle := chart.Series{Name: "idle"}
	for i, r := range all {
		t.row(r.Members, r.Calm, r.Bytes, r.Busiest, r.Messages, 1000*part(r.Two, 0.5), 1000*part(r.Two, 0.99), 1000*part(r.Most, 0.5), 1000*part(r.Most, 0.99), part(r.All, 0.5),
			part(r.All, 0.99), r.Met, r.Fell, len(r.Faults))
		course.X, course.Y = append(course.X, float64(c.Members[i])), append(course.Y, r.Bytes)
		idle.X, idle.Y = append(idle.X, float64(c.Members[i])), append(idle.Y, r.Calm)
	}
	t.end()
	return all, c.draw("memory-bytes", fmt.Sprintf("What a member sends: %g writes/s of 100 bytes in all (simulated)", c.Writes), chart.Axis{Name: "members", Log: true},
		chart.Axis{Name: "bytes/s"}, []chart.Series{course, idle})
}

func (c *memoryPlayCommand) heal() (any, error) {
	type played struct {
		Kind string `json:"Kind"`
		*emulator.MemoryResult
	}
	troubles := map[string]emulator.MemberTrouble{
		"half cut off": {Kind: emulator.Cut}, "a tenth ends, disks kept": {Kind: emulator.Die}, "a tenth ends, disks emptied": {Kind: emulator.Emptied},
		"a tenth ends, older disks": {Kind: emulator.Older},
	}
	kinds := c.Troubles
	for _, k := range kinds {
		if _, ok := troubles[k]; !ok {
			return nil, fmt.Errorf("no trouble is called %q", k)
		}
	}
	all := make([]played, len(c.Members)*len(kinds))
	if err := together(len(all), func(i int) error {
		s := c.fleet(c.Members[i/len(kinds)])
		s.Span = 25
		t := troubles[kinds[i%len(kinds)]]
		if t.At, t.For, t.Number = 5, 20, max(1, s.Members/10); t.Kind == emulator.Cut {
			t.Number = s.Members / 2
		}
		s.Troubles = []emulator.MemberTrouble{t}
		r, err := emulator.RunMemory(s)
		all[i] = played{kinds[i%len(kinds)], r}
		return err
	}); err != nil {
		return nil, err
	}
	t := newSheet(fmt.Sprintf("simulated: 20 s of trouble, %g writes/s go on in all parts; it is known to have ended after 5 s", c.Writes), "trouble", "members", "all agree after s", "KB sent by all till then",
		"walks", "whole snapshots", "set aside", "lost", "faults")
	for _, r := range all {
		t.row(r.Kind, r.Members, r.Agree, float64(r.CatchAll)/1000, r.Walks, r.Wholes, r.Aside, r.Lost, len(r.Faults))
	}
	t.end()
	return all, nil
}

func (c *memoryPlayCommand) catchup() (any, error) {
	type played struct {
		Way    string `json:"Way"`
		Differ int    `json:"Differ"`
		*emulator.MemoryResult
	}
	ways := []string{"deltas", "digests", "whole"}
	all := make([]played, len(c.Differ)*len(ways))
	if err := together(len(all), func(i int) error {
		s := c.fleet(3)
		s.Records, s.Writes, s.Span, s.Quiet, s.Knows, s.Settle, s.Checks, s.Fresh = c.Records, 0, 1, float64(c.Differ[i/len(ways)]), 1, 300, false, 0
		s.Sure = replication.WriteConcern{}
		s.Troubles = []emulator.MemberTrouble{{Kind: emulator.Cut, At: 1, For: 30, Number: 1}}
		switch ways[i%len(ways)] {
		case "digests": // all start anew, and know no deltas
			s.Troubles = append(s.Troubles, emulator.MemberTrouble{Kind: emulator.Die, At: 20, For: 2, Share: 1})
		case "whole":
			s.Troubles[0].Kind = emulator.Emptied
		}
		r, err := emulator.RunMemory(s)
		all[i] = played{ways[i%len(ways)], c.Differ[i/len(ways)], r}
		return err
	}); err != nil {
		return nil, err
	}
	t := newSheet(fmt.Sprintf("simulated: catching up by one of three, %d records of 100 bytes; known to be back after 1 s", c.Records), "by", "differ", "KB sent by all", "bytes by what differs", "all agree after s",
		"walks", "whole snapshots", "faults")
	lines := make([]chart.Series, len(ways))
	for i, r := range all {
		n := float64(max(1, r.Written))
		t.row(r.Way, r.Written, float64(r.CatchAll)/1000, float64(r.CatchAll)/n, r.Agree, r.Walks, r.Wholes, len(r.Faults))
		l := &lines[i%len(ways)]
		l.Name, l.X, l.Y = r.Way, append(l.X, n), append(l.Y, float64(max(1, r.CatchAll))/1000)
	}
	t.end()
	return all, c.draw("memory-catchup", fmt.Sprintf("Catching up, of %d records (simulated)", c.Records), chart.Axis{Name: "records that differ", Log: true},
		chart.Axis{Name: "KB", Log: true}, lines)
}

// record measures what a record takes in memory, of a machine of this process.
func (c *memoryPlayCommand) record() (any, error) {
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	t := newSheet("memory by record, measured in this process", "records", "bytes of key and value", "bytes a record", "beyond key and value")
	var all []map[string]float64
	for _, n := range []int{c.Records / 10, c.Records} {
		for _, size := range []int{20, 100} {
			before := heap()
			saved := &replication.SavedState{WriterEpoch: 1, Vector: replication.Vector{{Writer: "n0", WriterEpoch: 1, Number: uint64(n)}}}
			for i := range n {
				saved.Records = append(saved.Records, replication.ReplicatedRecord{Record: replication.Record{
					Kind: 1, Key: fmt.Sprintf("k%07d", i), Value: make([]byte, size),
					Dot: replication.Dot{Writer: "n0", WriterEpoch: 1, Number: uint64(i + 1)},
				}})
			}
			m, err := replication.New(replication.Settings{Name: "n1", Kinds: []replication.Kind{{ID: 1, Name: "played", MaxRecords: 2 * n, MaxBytes: 1 << 30, MaxRecordBytes: 1000, MergeOrder: func(a, b []byte) int { return 0 }}}},
				saved, 0)
			if err != nil {
				return nil, fmt.Errorf("record: %w", err)
			}
			saved = nil
			took := float64(heap()-before) / float64(n)
			t.row(n, size+8, took, took-float64(size+8))
			all = append(all, map[string]float64{"records": float64(n), "bytes": float64(size + 8), "took": took})
			runtime.KeepAlive(m)
		}
	}
	t.end()
	return all, nil
}

// copiesPlayed is what came of so many copies: in calm, with members just ended, and in a cut.
type copiesPlayed struct {
	Members int                    `json:"Members"`
	Copies  int                    `json:"Copies"`
	Reads   float64                `json:"Reads"`
	Calm    *emulator.CopiesResult `json:"Calm"`
	Dead    *emulator.CopiesResult `json:"Dead"`
	Cut     *emulator.CopiesResult `json:"Cut"`
}

func (c *memoryPlayCommand) copies() (any, error) {
	var all []copiesPlayed
	t := newSheet(fmt.Sprintf("simulated: %d records of 130 bytes, %g writes/s: k copies by the shared order, a simulation of placement and questions", c.Records, c.Writes), "members", "copies", "reads/s a member", "bytes/s a member",
		"MB of records at one", "read here", "ms to read", "99% ms", "99%, a tenth just ended", "unread then", "unread by half in a cut", "MB moved by one's end")
	for _, n := range c.Members {
		for _, k := range slices.Compact([]int{3, n}) {
			for _, reads := range []float64{10, 1000} {
				p, err := c.playCopies(n, k, reads)
				if err != nil {
					return nil, err
				}
				all = append(all, p)
				name := fmt.Sprint(k)
				if k == n {
					name = "all"
				}
				t.row(n, name, reads, p.Calm.Bytes, p.Calm.Memory/1e6, p.Calm.Local, 1000*p.Calm.Mean, 1000*p.Calm.P99, 1000*p.Dead.P99, p.Dead.Unread, p.Cut.Unread, p.Calm.Moved/1e6)
			}
		}
	}
	t.end()
	return all, nil
}

// playCopies plays a fleet of n members with k copies of each record, and so many reads a second at each member.
func (c *memoryPlayCommand) playCopies(n, k int, reads float64) (copiesPlayed, error) {
	s := emulator.CopiesScenario{
		Seed: c.Seed, Members: n, Copies: k, Records: c.Records, Bytes: 130, Question: 60, Writes: c.Writes, Reads: reads, Delay: 0.002, Patience: 0.1,
		Samples: 20_000 / max(1, k/30),
	}
	p := copiesPlayed{Members: n, Copies: k, Reads: reads}
	for _, x := range []struct {
		to        **emulator.CopiesResult
		dead, cut float64
	}{{&p.Calm, 0, 0}, {&p.Dead, 0.1, 0}, {&p.Cut, 0, 0.5}} {
		s.Dead, s.Cut = x.dead, x.cut
		r, err := emulator.RunCopies(s)
		if err != nil {
			return p, err
		}
		*x.to = r
	}
	return p, nil
}

// variantCases is what may happen to variants.
var variantCases = map[string]func(*emulator.VariantsScenario){
	"calm":          func(s *emulator.VariantsScenario) { s.Changes = 0.1 },
	"changes":       func(s *emulator.VariantsScenario) { s.Changes, s.One = 10, 1 },
	"silent":        func(s *emulator.VariantsScenario) { s.Changes, s.One, s.Silent = 5, 1, 1 },
	"silent long":   func(s *emulator.VariantsScenario) { s.Changes, s.One, s.Silent, s.Lapses = 5, 1, 1, 600 },
	"new objects":   func(s *emulator.VariantsScenario) { s.Fresh = 20 },
	"new all kept":  func(s *emulator.VariantsScenario) { s.Fresh, s.TablesHold = 20, 30_000 },
	"two witnesses": func(s *emulator.VariantsScenario) { s.Witnesses = 2 },
	"cut":           func(s *emulator.VariantsScenario) { s.Changes, s.One, s.Cut, s.CutFor = 10, 1, 30, 60 },
}

type variantsPlayed struct {
	Case string `json:"Case"`
	Way  string `json:"Way"`
	*emulator.VariantsResult
}

func (c *memoryPlayCommand) variants() (any, error) {
	all := make([]variantsPlayed, len(c.Cases)*len(c.Ways))
	if err := together(len(all), func(i int) error {
		name := c.Cases[i/len(c.Ways)]
		change, ok := variantCases[name]
		if !ok {
			return fmt.Errorf("no case %q", name)
		}
		s := emulator.VariantsDefault()
		s.Seed, s.Dispatchers, s.Way = c.Seed, c.Dispatchers, c.Ways[i%len(c.Ways)]
		change(&s)
		r, err := emulator.RunVariants(s)
		all[i] = variantsPlayed{name, s.Way, r}
		return err
	}); err != nil {
		return nil, err
	}
	t := newSheet(fmt.Sprintf("simulated: %d dispatchers, 100 hosts, 5 classes", c.Dispatchers), "case", "way", "hits", "missed/s", "of the ideal's saving", "fills/s", "shed", "revenue", "copies", "spare copies", "sent again",
		"checks", "wrong", "older", "facts/s")
	for i, r := range all {
		same := all[i/len(c.Ways)*len(c.Ways):][:len(c.Ways)]
		find := func(way string) float64 {
			if at := slices.IndexFunc(same, func(p variantsPlayed) bool { return p.Way == way }); at >= 0 {
				return same[at].Missed
			}
			return 0
		}
		saved := (find(emulator.ByClass) - r.Missed) / max(1e-9, find(emulator.ByClass)-find(emulator.Knowing))
		t.row(r.Case, r.Way, r.Hits, r.Missed, saved, r.Fills, r.Shed, r.Revenue, r.Copies, r.Spare, r.Again, r.Checked, r.Wrong, r.Older, r.Facts)
	}
	t.end()
	for i, name := range c.Cases {
		if err := c.drawVariants(name, all[i*len(c.Ways):][:len(c.Ways)]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// variantCharts are the cases that are drawn, with the names of their charts.
var variantCharts = map[string]string{"calm": "calm", "new objects": "new"}

// drawVariants draws what came of a case, a line for each way, if the case is one that is drawn.
func (c *memoryPlayCommand) drawVariants(name string, all []variantsPlayed) error {
	file, drawn := variantCharts[name]
	if !drawn {
		return nil
	}
	var lines []chart.Series
	for _, r := range all {
		lines = append(lines, byTenSeconds(r.Way, r.Course))
	}
	return c.draw("variants-"+file, fmt.Sprintf("%s: %d dispatchers, fills at the origin (simulated)", name, c.Dispatchers),
		chart.Axis{Name: "s"}, chart.Axis{Name: "fills/s"}, lines)
}

// byTenSeconds is a line of the means of each ten values, which are a second apart.
func byTenSeconds(name string, values []float64) chart.Series {
	l := chart.Series{Name: name}
	for at := 0; at+10 <= len(values); at += 10 {
		sum := 0.0
		for _, y := range values[at : at+10] {
			sum += y / 10
		}
		l.X, l.Y = append(l.X, float64(at)), append(l.Y, sum)
	}
	return l
}

// channelCases is what may happen to channels.
var channelCases = []struct {
	name   string
	change func(*emulator.ChannelsScenario)
}{
	{"calm", func(*emulator.ChannelsScenario) {}},
	{"readers move each 2 s", func(s *emulator.ChannelsScenario) { s.Moves = 2 }},
	{"a third ends for 8 s", func(s *emulator.ChannelsScenario) {
		s.Troubles = []emulator.MemberTrouble{{Kind: emulator.Die, At: 8, For: 8, Number: max(1, s.Members/3)}}
	}},
	{"a third cut off for 8 s", func(s *emulator.ChannelsScenario) {
		s.Troubles = []emulator.MemberTrouble{{Kind: emulator.Cut, At: 8, For: 8, Number: max(1, s.Members/3)}}
	}},
}

type channelsPlayed struct {
	Case    string `json:"Case"`
	Order   string `json:"Order"`
	Members int    `json:"Members"`
	Readers int    `json:"Readers"`
	*emulator.ChannelsResult
}

func (c *memoryPlayCommand) channels() (any, error) {
	plans, all := c.channelPlans()
	if err := together(len(plans), func(i int) (err error) {
		all[i].ChannelsResult, err = emulator.RunChannels(plans[i])
		return err
	}); err != nil {
		return nil, err
	}
	t := newSheet("simulated: 20 entries/s of ten writers, lateness from the writer's wish to each reader", "processes", "readers", "case", "order", "shown/s", "median ms", "99% ms", "latest s", "acknowledged", "unseen", "wrong",
		"to come later", "all back after s")
	for _, r := range all {
		t.row(r.Members, r.Readers, r.Case, r.Order, float64(r.Shown)/30, 1000*part(r.Late, 0.5), 1000*part(r.Late, 0.99), part(r.Late, 1), r.Acked, r.Unseen, r.Broken, r.Waited, r.Back)
	}
	t.end()
	for _, x := range channelCases[2:] {
		if err := c.drawChannels(x.name, all); err != nil {
			return nil, err
		}
	}
	for i := range all {
		all[i].Late, all[i].Course = nil, nil
	}
	return all, nil
}

// channelPlans are the scenarios of each size, number of readers, case and order, each with its place for what comes of it.
func (c *memoryPlayCommand) channelPlans() (plans []emulator.ChannelsScenario, all []channelsPlayed) {
	for _, n := range c.Processes {
		for _, readers := range c.Readers {
			for _, x := range channelCases {
				for order := channel.Latest; order <= channel.Total; order++ {
					s := emulator.ChannelsDefault()
					s.Seed, s.Members, s.Readers, s.Order = c.Seed, n, readers, order
					x.change(&s)
					plans = append(plans, s)
					all = append(all, channelsPlayed{Case: x.name, Order: order.String(), Members: n, Readers: readers})
				}
			}
		}
	}
	return plans, all
}

// drawChannels draws a case of the largest fleet and the fewest readers, a line for each order.
func (c *memoryPlayCommand) drawChannels(name string, all []channelsPlayed) error {
	var lines []chart.Series
	for _, r := range all {
		if r.Case == name && r.Members == c.Processes[len(c.Processes)-1] && r.Readers == c.Readers[0] {
			lines = append(lines, latenessBySecond(r))
		}
	}
	file := "channels-kill"
	if name == channelCases[3].name {
		file = "channels-cut"
	}
	return c.draw(file, name+": 99 in 100 shown within (simulated)", chart.Axis{Name: "s, when there to be written"}, chart.Axis{Name: "s", Log: true}, lines)
}

// latenessBySecond is a line of how late 99 in 100 were shown, by the second in which they were to be written.
func latenessBySecond(r channelsPlayed) chart.Series {
	l := chart.Series{Name: r.Order}
	for at, late := range r.Course {
		if len(late) > 0 {
			l.X, l.Y = append(l.X, float64(at)), append(l.Y, max(0.001, part(late, 0.99)))
		}
	}
	return l
}
