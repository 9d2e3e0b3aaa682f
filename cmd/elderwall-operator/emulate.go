package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"elderwall/emulator"
	"elderwall/internal/scenario"
	"elderwall/internal/table"
)

// emulateCommand plays a scenario with no sockets.
type emulateCommand struct {
	Scenario []string `arg:"" help:"Scenarios, Jsonnet files; examples/fleets/vanish-1000.jsonnet is one." type:"existingfile"`
	JSON     string   `help:"Where the results go as JSON." type:"path" placeholder:"FILE"`
	Seeds    int      `help:"So many runs of each, with seeds one after the other." default:"1"`
	Shards   int      `help:"Modules of each dispatcher, in place of what the scenario says." placeholder:"N"`
	BySecond bool     `help:"A line a second too."`
}

// emulated is one run.
type emulated struct {
	Scenario string  `json:"Scenario"`
	Seed     uint64  `json:"Seed"`
	Shards   int     `json:"Shards"`
	Wall     float64 `json:"Wall"`    // s
	Counted  float64 `json:"Counted"` // s, of the scenario
	*emulator.Result
}

// Run plays them all, and prints the table. A broken rule is an error.
func (e *emulateCommand) Run() error {
	var all []emulated
	broken := false
	for _, path := range e.Scenario {
		s, err := scenario.Read(path)
		if err != nil {
			return err
		}
		if e.Shards > 0 {
			s.Shards = e.Shards
		}
		for range max(1, e.Seeds) {
			start := time.Now()
			r, err := emulator.Run(s)
			if err != nil {
				return err
			}
			all = append(all, emulated{path, s.Seed, s.Shards, time.Since(start).Seconds(), s.Seconds, r})
			broken = broken || len(r.Broken) > 0
			s.Seed++
		}
	}
	e.table(os.Stdout, all)
	if err := writeResults(e.JSON, all); err != nil {
		return err
	}
	if broken {
		return fmt.Errorf("a rule was broken")
	}
	return nil
}

// table prints what came of the runs; all of it is simulated.
func (e *emulateCommand) table(to io.Writer, all []emulated) {
	out := table.New(to, columnGap, 0)
	out.Println("scenario (simulated)\tseed\tGETs\tin time\tshed\terrored\thits\tforwards a GET\twasted\tlost\t50%\t99% ms\tconnects/s\tconnections\tcold most\tcopies 1/10/100/1000\twall s\tbroken")
	line := func(name string, seed uint64, t emulator.Tally) {
		out.Printf("%s\t%d\t%d\t%.4f\t%d\t%d\t%.3f\t%.3f\t%d\t%d\t%.1f\t%.1f", name, seed, t.GETs, t.Share(), t.Shed, t.Errored,
			float64(t.Hits)/float64(max(1, t.Returned)), float64(t.Forwards)/float64(max(1, t.GETs+t.Again)), t.Wasted, t.Lost, t.P50, t.P99)
	}
	for _, r := range all {
		if e.BySecond {
			for i, t := range r.Seconds {
				line(fmt.Sprintf("  second %d", i), r.Seed, t)
				out.Println("\t\t\t\t\t\t")
			}
		}
		line(r.Scenario, r.Seed, r.Total)
		copies := ""
		for i, c := range r.Copies {
			if i > 0 {
				copies += "/"
			}
			copies += fmt.Sprintf("%.2f", c.Mean)
		}
		var rules []string
		for rule, n := range r.Broken {
			rules = append(rules, fmt.Sprintf("%s (%d)", rule, n))
		}
		slices.Sort(rules)
		out.Printf("\t%.1f\t%.1f, %d\t%.2f\t%s\t%.1f\t%v\n", float64(r.Total.Connects)/r.Counted, r.Connections, r.MostConnections,
			r.ColdMost, copies, r.Wall, rules)
	}
	_ = out.Flush()
}
