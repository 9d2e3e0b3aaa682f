package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/quota"
	"elderwall/internal/cluster"
	"elderwall/internal/snakejson"
	"elderwall/internal/table"
)

func (a asked) keys() (*cluster.Keys, error) {
	if a.Key == "" {
		return cluster.OpenKeys(), nil
	}
	return cluster.ReadKeys(a.Key)
}

// command has commands put into the log.
func (a asked) command(commands ...lease.Command) error {
	keys, err := a.keys()
	if err != nil {
		return err
	}
	t, err := cluster.AskDo(context.Background(), a.At, keys, commands...)
	if err == nil && !t.Changed {
		err = errors.New("nothing to change")
	}
	return err
}

func printJSON(t cluster.Told) error {
	raw, err := snakejson.Indent(t)
	if err == nil {
		_, err = os.Stdout.Write(raw)
	}
	return err
}

type dutiesCommand struct {
	asked
	JSON bool `help:"All of it, as JSON."`
}

// Run prints one line a duty.
func (c *dutiesCommand) Run() error {
	t, err := c.ask(cluster.AskDuties, 0)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(t)
	}
	out := table.New(os.Stdout, columnGap, 0)
	out.Println("duty\tholder\ttoken\trest\tlease\tzone\tto\tmarked, told\twaiting")
	for _, d := range t.Duties {
		holder, rest := "nobody", "-"
		if d.Held() {
			holder, rest = d.Holder.Name, fmt.Sprintf("%.1fs", t.Rest[d.Name])
		}
		var waiting []string
		for _, w := range d.Waiting {
			name := w.Name
			if w.Failures > 0 {
				name += fmt.Sprintf(" (%d run out)", w.Failures)
			}
			waiting = append(waiting, name)
		}
		if d.More > 0 {
			waiting = append(waiting, fmt.Sprintf("%d more", d.More))
		}
		out.Printf("%s\t%s\t%d\t%s\t%gs\t%s\t%s\t%d, %d\t%s\n", d.Name, holder, d.Token, rest, d.LeaseLength, d.PreferredZone, d.TransferTo, d.Started, d.Completed, strings.Join(waiting, ", "))
	}
	return out.Flush()
}

type handCommand struct {
	asked
	Duty string `arg:"" help:"The duty."`
	To   string `arg:"" help:"The dispatcher."`
}

// Run hands a duty over.
func (c *handCommand) Run() error {
	t, err := c.ask(cluster.AskDuties, 0)
	if err != nil {
		return err
	}
	for _, d := range t.Duties {
		if d.Name == c.Duty {
			return c.command(lease.Command{Kind: lease.Transfer, Duty: c.Duty, Token: d.Token, Name: c.To})
		}
	}
	return fmt.Errorf("no duty %q", c.Duty)
}

type dropCommand struct {
	asked
	Duty string `arg:"" help:"The duty."`
}

// Run forgets a duty.
func (c *dropCommand) Run() error {
	return c.command(lease.Command{Kind: lease.Drop, Duty: c.Duty})
}

type budgetsCommand struct {
	asked
	JSON  bool `help:"All of it, as JSON."`
	Parts bool `help:"A line for each dispatcher, too."`
}

// Run prints one line a budget, with a line a zone, or a dispatcher, below it.
func (c *budgetsCommand) Run() error {
	t, err := c.ask(cluster.AskBudgets, 0)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(t)
	}
	out := table.New(os.Stdout, columnGap, 0)
	out.Println("budget\tgeneration\twhole\tdivided\tfree\tspent\treserved\tkept\tneeded\tage")
	for _, b := range t.Budgets {
		unit := 1.0
		if b.Kind == quota.Rate {
			unit = float64(quota.RateUnits)
		}
		line := func(name, generation, whole, free, spent string, parts []cluster.ToldPart) {
			var sum cluster.ToldPart
			for _, p := range parts {
				sum.Out, sum.Floor, sum.Keep, sum.Need, sum.Age = sum.Out+p.Out, sum.Floor+p.Floor, sum.Keep+p.Keep, sum.Need+p.Need, max(sum.Age, p.Age)
			}
			out.Printf("%s\t%s\t%s\t%g\t%s\t%s\t%g\t%g\t%g\t%.1fs\n", name, generation, whole, float64(sum.Out)/unit, free, spent, float64(sum.Floor)/unit, float64(sum.Keep)/unit,
				float64(sum.Need)/unit, sum.Age)
		}
		of := func(n int64) string { return fmt.Sprint(float64(n) / unit) }
		line(b.Name, fmt.Sprint(b.Generation), of(b.Total), of(b.Total-b.Out-b.Spent), of(b.Spent), b.Parts)
		zones := map[string][]cluster.ToldPart{}
		for _, p := range b.Parts {
			zones[p.Zone] = append(zones[p.Zone], p)
		}
		for _, z := range slices.Sorted(maps.Keys(zones)) {
			line("  zone "+z, "", "", "", "", zones[z])
			for _, p := range zones[z] {
				if c.Parts {
					line("    "+p.Name, "", "", "", "", []cluster.ToldPart{p})
				}
			}
		}
	}
	return out.Flush()
}

type spendCommand struct {
	asked
	Budget string `arg:"" help:"A budget of a rate or an amount."`
	Units  uint64 `arg:"" help:"How many: bytes, or whatever the budget counts."`
}

// Run takes units of a budget at a dispatcher.
func (c *spendCommand) Run() error {
	keys, err := c.keys()
	if err != nil {
		return err
	}
	return cluster.AskUnits(context.Background(), c.At, keys, c.Budget, c.Units)
}

type votersCommand struct {
	List   votersList   `cmd:"" default:"withargs" help:"List the voters: leader, term, log, and how far each lags."`
	Found  foundCommand `cmd:"" help:"Begin the log at a dispatcher that votes; the others are taken in by themselves."`
	Add    seatCommand  `cmd:"" help:"Have a disk learn, by its id, and vote once it has caught up."`
	Remove seatCommand  `cmd:"" help:"Take a voter out, by its disk's id, that is gone for good."`
}

type votersList struct {
	asked
	JSON bool `help:"All of it, as JSON."`
}

// Run prints one line a voter.
func (c *votersList) Run() error {
	t, err := c.ask(cluster.AskDuties, 0)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(t)
	}
	s := t.Council
	fmt.Printf("leader %d, term %d, log %d\n", s.Leader, s.Term, s.Commit)
	out := table.New(os.Stdout, columnGap, 0)
	out.Println("disk\tdispatcher\tera\tpart\tlags by")
	line := func(id uint64, part string) {
		name, era := "?", uint32(0)
		for _, seat := range t.Seats {
			if seat.ID == id {
				name, era = seat.Name, seat.DiskEpoch
			}
		}
		out.Printf("%d\t%s\t%d\t%s\t%d\n", id, name, era, part, max(0, int64(s.Commit)-int64(s.Match[id])))
	}
	for _, id := range s.Voters {
		line(id, map[bool]string{true: "leads", false: "votes"}[id == s.Leader])
	}
	for _, id := range s.Learners {
		line(id, "learns")
	}
	return out.Flush()
}

type foundCommand struct{ asked }

// Run begins the log.
func (c *foundCommand) Run() error {
	_, err := c.ask(cluster.AskFound, 0)
	return err
}

type seatCommand struct {
	asked
	ID uint64 `arg:"" help:"The disk's id, as the list has it."`
}

// Run changes who votes.
func (c *seatCommand) Run(parsed interface{ Command() string }) error {
	keys, err := c.keys()
	if err != nil {
		return err
	}
	kind := lease.Remove
	if strings.Contains(parsed.Command(), "add") {
		kind = lease.AddLearner
	}
	_, err = cluster.AskChange(context.Background(), c.At, keys, lease.VoterChange{Kind: kind, ID: c.ID})
	return err
}

type recoverCommand struct {
	asked
	Sure bool `help:"The majority of the voters is lost for good: their processes are ended and their disks will not come back." required:""`
}

// Run begins a new log.
func (c *recoverCommand) Run() error {
	fmt.Fprintln(os.Stderr, "What the lost voters alone knew is gone: grants of the last moments are unknown, and a holder of one may act until its lease is over.")
	fmt.Fprintln(os.Stderr, "Tokens go on far above any that was given. Voters of the old log that come back are put aside.")
	_, err := c.ask(cluster.AskRecover, 0)
	return err
}
