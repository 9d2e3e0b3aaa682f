package main

import (
	"fmt"
	"os"
	"path/filepath"

	"elderwall/core/cluster/quota"
	"elderwall/emulator"
	"elderwall/internal/chart"
	"elderwall/internal/table"
)

// budgetsPlayCommand plays dispatchers that share a budget, with no sockets.
type budgetsPlayCommand struct {
	Dispatchers int      `default:"300" help:"Size of the fleet."`
	Cases       []string `default:"calm,restarts,burst,herd,split,move,join,less" help:"What happens."`
	Ways        []string `default:"divided,equal parts,each its own,ideal" help:"The ways that are put side by side."`
	Kind        string   `default:"under way" enum:"under way,rate" help:"What the budget counts."`
	Whole       float64  `default:"3000" help:"The whole: at a time, or a second."`
	Demand      float64  `default:"1.5" help:"Times the whole."`
	Span        float64  `default:"120" help:"Seconds that count."`
	Seed        uint64   `default:"1" help:"Of chance."`
	Charts      string   `help:"Where a chart of each case goes, as SVG." type:"path" placeholder:"FOLDER"`
	JSON        string   `help:"Where the results go as JSON." type:"path" placeholder:"FILE"`
}

// budgetCases is what may happen; times are in seconds.
var budgetCases = map[string]func(*emulator.BudgetScenario){
	"calm":     func(*emulator.BudgetScenario) {},
	"restarts": func(s *emulator.BudgetScenario) { s.Restarts = 0.1 },
	"burst":    trouble(emulator.BudgetTrouble{Kind: emulator.Surge, At: 30, Share: 0.05}),
	"herd":     trouble(emulator.BudgetTrouble{Kind: emulator.Die, At: 30, For: 3, Share: 0.7}),
	"split":    trouble(emulator.BudgetTrouble{Kind: emulator.Cut, At: 30, For: 30, Share: 0.5}),
	"move":     trouble(emulator.BudgetTrouble{Kind: emulator.Moving, At: 30, Share: 0.1}),
	"join":     func(s *emulator.BudgetScenario) { s.Warm = 0 },
	"less":     trouble(emulator.BudgetTrouble{Kind: emulator.Whole, At: 30, Share: 0.5}),
	"divider":  trouble(emulator.BudgetTrouble{Kind: emulator.NoDivider, At: 30, For: 4}),
}

func trouble(t emulator.BudgetTrouble) func(*emulator.BudgetScenario) {
	return func(s *emulator.BudgetScenario) { s.Troubles = append(s.Troubles, t) }
}

type budgetPlayed struct {
	Case string `json:"Case"`
	Way  string `json:"Way"`
	*emulator.BudgetResult
}

// Run plays all of them, and prints a table.
func (c *budgetsPlayCommand) Run() error {
	var all []budgetPlayed
	out := table.New(os.Stdout, columnGap, 0)
	out.Println("case (simulated)\tway\tgiven\tused\tworst 10 s\tfair\tmost at the host\tfollowed after\tturned away\tbytes/s\tentries/s")
	for _, name := range c.Cases {
		change, ok := budgetCases[name]
		if !ok {
			return fmt.Errorf("no case %q", name)
		}
		var lines []chart.Series
		for _, way := range c.Ways {
			r, err := c.play(way, change)
			if err != nil {
				return err
			}
			all = append(all, budgetPlayed{name, way, r})
			follow := "never"
			if r.Follow >= 0 {
				follow = fmt.Sprintf("%.0f s", r.Follow)
			}
			out.Printf("%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%s\t%.3f\t%.0f\t%.2f\n", name, way, r.Given, r.Used, r.Worst, r.Fair, r.Most, follow, r.Turned, r.Bytes, r.Entries)
			lines = append(lines, bySecond(way, r.Course))
		}
		if err := c.draw(name, lines); err != nil {
			return err
		}
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return writeResults(c.JSON, all)
}

// play plays one case in one way.
func (c *budgetsPlayCommand) play(way string, change func(*emulator.BudgetScenario)) (*emulator.BudgetResult, error) {
	s := emulator.BudgetDefault()
	s.Seed, s.Dispatchers, s.Whole, s.Demand, s.Span, s.Way = c.Seed, c.Dispatchers, c.Whole, c.Demand, c.Span, way
	if c.Kind == "rate" {
		s.Kind, s.Burst = quota.Rate, c.Whole/10
	}
	change(&s)
	r, err := emulator.RunBudgets(s)
	if err != nil {
		return nil, err
	}
	r.Events = nil
	return r, nil
}

// bySecond is a line of values that are a second apart.
func bySecond(name string, values []float64) chart.Series {
	line := chart.Series{Name: name, Y: values}
	for i := range values {
		line.X = append(line.X, float64(i))
	}
	return line
}

// draw draws a case's chart, if charts are asked for.
func (c *budgetsPlayCommand) draw(name string, lines []chart.Series) error {
	if c.Charts == "" {
		return nil
	}
	title := fmt.Sprintf("%s: %d dispatchers, one budget (simulated)", name, c.Dispatchers)
	return chart.Lines(filepath.Join(c.Charts, "budgets-"+name+".svg"), title, chart.Axis{Name: "s"}, chart.Axis{Name: "of the whole, in use"}, lines)
}
