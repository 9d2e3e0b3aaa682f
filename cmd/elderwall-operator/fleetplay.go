package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"elderwall/emulator"
	"elderwall/internal/snakejson"
	"elderwall/internal/table"
)

// fleetPlayCommand plays members with no sockets.
type fleetPlayCommand struct {
	Members  []int     `default:"30,300" help:"Sizes of the fleet."`
	Loss     []float64 `default:"0,0.01,0.05,0.2" help:"Shares of datagrams that are lost."`
	Stalls   float64   `help:"One in so many stands still at any time; 0 for none." placeholder:"N"`
	Protocol []string  `default:"own doubt,plain SWIM,heartbeats" help:"The protocols that are put side by side."`
	Span     float64   `default:"300" help:"Intervals that count."`
	Warm     float64   `default:"30" help:"Intervals before those, in which the fleet forms: 1,000 members take some 100."`
	Seeds    int       `default:"1" help:"So many runs of each."`
	Die      int       `default:"1" help:"Members that end, one after the other."`
	Cut      float64   `help:"This share of the members is cut off for 60 intervals in the middle."`
	JSON     string    `help:"Where the results go as JSON." type:"path" placeholder:"FILE"`
}

type fleetPlayed struct {
	emulator.MembersScenario
	*emulator.MembersResult
	Wall float64 `json:"Wall"` // s
}

// Run plays all of them, and prints a table.
func (c *fleetPlayCommand) Run() error {
	var all []fleetPlayed
	for _, s := range c.scenarios() {
		start := time.Now()
		r, err := emulator.RunMembers(s)
		if err != nil {
			return err
		}
		all = append(all, fleetPlayed{s, r, time.Since(start).Seconds()})
	}
	if err := printFleetPlayed(all); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return writeResults(c.JSON, all)
}

// scenarios are those of each size, loss, protocol and seed, in this order.
func (c *fleetPlayCommand) scenarios() (all []emulator.MembersScenario) {
	for _, n := range c.Members {
		for _, loss := range c.Loss {
			for _, protocol := range c.Protocol {
				for seed := range c.Seeds {
					s := c.scenario()
					s.Seed, s.Members, s.Loss, s.Protocol = uint64(seed+1), n, loss, protocol
					all = append(all, s)
				}
			}
		}
	}
	return all
}

// scenario is what all scenarios have in common.
func (c *fleetPlayCommand) scenario() emulator.MembersScenario {
	s := emulator.MembersDefault()
	s.Stalls, s.Span, s.Warm = c.Stalls, c.Span, c.Warm
	for i := range c.Die {
		s.Troubles = append(s.Troubles, emulator.MemberTrouble{Kind: emulator.Die, At: 10 + float64(i)*c.Span/float64(2*c.Die), Number: 1})
	}
	if c.Cut > 0 {
		s.Troubles = append(s.Troubles, emulator.MemberTrouble{Kind: emulator.Cut, At: c.Span / 2, For: 60, Share: c.Cut})
	}
	return s
}

func printFleetPlayed(all []fleetPlayed) error {
	out := table.New(os.Stdout, columnGap, 0)
	out.Println("members (simulated)\tloss\tprotocol\tseed\tfirst knows\thalf\t99%\twrong an hour\tdatagrams\tbytes\theal\twall s")
	for _, r := range all {
		out.Printf("%d\t%g\t%s\t%d\t%s\t%s\t%s\t%.0f\t%.1f\t%.0f\t%.1f\t%.1f\n", r.MembersScenario.Members, r.Loss, r.Protocol, r.Seed, median(r.First), median(r.Half),
			median(r.Known99), r.WrongHour, r.Datagrams, r.Bytes, r.Heal, r.Wall)
	}
	return out.Flush()
}

// median is the middle of a list as text, or "-" of an empty one.
func median(l []float64) string {
	if len(l) == 0 {
		return "-"
	}
	l = slices.Clone(l)
	slices.Sort(l)
	return fmt.Sprintf("%.1f", l[len(l)/2])
}

// writeResults writes what was played as JSON, where a path says so.
func writeResults(path string, all any) error {
	if path == "" {
		return nil
	}
	raw, err := snakejson.Indent(all)
	if err == nil {
		err = os.WriteFile(path, raw, 0o644)
	}
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}
