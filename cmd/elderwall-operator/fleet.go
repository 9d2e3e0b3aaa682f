package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/dustin/go-humanize"

	"elderwall/core/cluster/membership"
	"elderwall/internal/cluster"
	"elderwall/internal/table"
)

// fleetCommand asks dispatchers that know each other.
type fleetCommand struct {
	Members membersCommand     `cmd:"" help:"List the members as one of them sees them."`
	Watch   watchCommand       `cmd:"" help:"Follow the changes that one of them sees."`
	Duties  dutiesCommand      `cmd:"" help:"List the duties: who holds them, with which token, and who else stands."`
	Budgets budgetsCommand     `cmd:"" help:"List the budgets: the wholes, and how they are divided."`
	Spend   spendCommand       `cmd:"" help:"Take units of a budget at a dispatcher; fails where it has none left."`
	Follow  followCommand      `cmd:"" help:"Follow a channel, at any dispatcher: a line of JSON a notice."`
	Publish publishCommand     `cmd:"" help:"Write into a channel, at any dispatcher; or declare channels."`
	Hold    holdCommand        `cmd:"" help:"Run a command while holding a duty; its token stands in ELDERWALL_TOKEN."`
	Guard   guardCommand       `cmd:"" hidden:"" help:"Kill a command whose duty nobody holds any more; fleet hold starts it."`
	Hand    handCommand        `cmd:"" help:"Have a duty handed over to a dispatcher that stands for it."`
	Drop    dropCommand        `cmd:"" help:"Forget a duty that nobody holds."`
	Voters  votersCommand      `cmd:"" help:"List the voters of the log, begin it, or change who votes."`
	Recover recoverCommand     `cmd:"" help:"Begin a new log with what one voter has, where the majority of the voters is lost for good."`
	Leave   leaveCommand       `cmd:"" help:"Have a dispatcher leave the fleet and serve on alone; SIGTERM does it as well."`
	Key     fleetKeyCommand    `cmd:"" help:"Print a new key, a line of the key file that all have."`
	Emulate fleetPlayCommand   `cmd:"" help:"Play a fleet of members with no sockets, beside plainer protocols; all figures are simulated."`
	Memory  memoryPlayCommand  `cmd:"" name:"emulate-memory" help:"Play what a fleet remembers, with no sockets: records, variants, channels, beside other ways."`
	Share   budgetsPlayCommand `cmd:"" name:"emulate-budgets" help:"Play a fleet that shares a budget, with no sockets: how the whole is used, beside other ways."`
}

// asked is whom the commands ask.
type asked struct {
	At  string `required:"" help:"The fleet address of a dispatcher." placeholder:"ADDR"`
	Key string `help:"The fleet's key file; none where it has none." placeholder:"FILE"`
}

func (a asked) ask(what string, after uint64) (cluster.Told, error) {
	keys := cluster.OpenKeys()
	if a.Key != "" {
		var err error
		if keys, err = cluster.ReadKeys(a.Key); err != nil {
			return cluster.Told{}, err
		}
	}
	return cluster.Ask(context.Background(), a.At, keys, what, after)
}

type membersCommand struct {
	asked
	JSON bool `help:"All of it, as JSON."`
}

// Run prints one line a member, the asked one first.
func (c *membersCommand) Run() error {
	t, err := c.ask(cluster.AskMembers, 0)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(t)
	}
	return list(os.Stdout, t)
}

func list(to io.Writer, t cluster.Told) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s, %s: sees %d of %d (%s), sure %.2f", t.Self.Name, t.Standing, t.View.Seen, t.View.AgreedSize, t.Level, t.View.Confidence)
	if t.View.LocalFaultLikely {
		head.WriteString(", doubts itself")
	}
	if t.View.DifferingViews > 0 {
		fmt.Fprintf(&head, ", %d see it otherwise", t.View.DifferingViews)
	}
	head.WriteString("\n")
	if t.Memory != nil {
		describeMemory(&head, t.Memory)
	}
	if _, err := io.WriteString(to, head.String()); err != nil {
		return err
	}
	out := table.New(to, columnGap, 0)
	out.Println("member\tstate\tsince\tzone\tincarnation\taddress\tlink\theard\tGETs/s\tsettings\taccused by")
	ago := func(at float64) string {
		if at < 0 {
			return "never"
		}
		return time.Duration((t.Now - at) * float64(time.Second)).Round(time.Second / 10).String()
	}
	for _, m := range t.Members {
		by := m.AccusedBy
		if m.State == membership.Alive || m.State == membership.Left {
			by = ""
		}
		out.Printf("%s\t%s\t%s\t%s\t%d.%d\t%s\t%s\t%s\t%s\t%08x\t%s\n", m.Name, m.State, ago(m.StateSince), m.Zone, m.Incarnation>>32, uint32(m.Incarnation),
			m.Address, m.Link, ago(m.LastContact), humanize.Comma(int64(m.Load.GETs)), m.SettingsGeneration, by)
	}
	return out.Flush()
}

// describeMemory appends a line on what a dispatcher stores, and one for each kind of record.
func describeMemory(to *strings.Builder, m *cluster.ToldMemory) {
	standing := "has all that it heard of"
	switch {
	case m.Problem != "":
		standing = "out: " + m.Problem
	case m.CatchingUp:
		standing = "catching up: what it knows narrows, and nothing else"
	case m.Behind > 0:
		standing = fmt.Sprintf("%s writes behind", humanize.Comma(int64(m.Behind)))
	}
	fmt.Fprintln(to, "memory:", standing)
	for _, k := range m.Kinds {
		if k.Records+k.Refused > 0 {
			fmt.Fprintf(to, "  %s: %s records, %s, %d deleted, %d set aside, %d refused\n", k.Kind, humanize.Comma(int64(k.Records)), humanize.IBytes(uint64(k.Bytes)),
				k.Tombstones, k.Conflicting, k.Refused)
		}
		if k.Incomplete {
			fmt.Fprintf(to, "  %s: some were dropped here, and are not brought in yet; nothing of it is acknowledged\n", k.Kind)
		}
	}
	if len(m.UnknownKinds) > 0 {
		fmt.Fprintf(to, "  kinds %v: written by others, of a version later than this one's; not kept here\n", m.UnknownKinds)
	}
}

type watchCommand struct {
	asked
	For time.Duration `help:"Stop after so long; never without." placeholder:"TIME"`
}

// Run prints a line whenever a member's state or the view changes.
func (c *watchCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if c.For > 0 {
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	was, after, first := map[string]string{}, uint64(0), true
	for ctx.Err() == nil {
		t, err := c.ask(cluster.AskWatch, after)
		if err != nil {
			return err
		}
		after = t.Number
		now := sightings(t)
		if first {
			if err := list(os.Stdout, t); err != nil {
				return err
			}
		} else {
			printChanges(was, now)
		}
		was, first = now, false
	}
	return nil
}

// sightings is how the asked dispatcher sees itself and each member, by name.
func sightings(t cluster.Told) map[string]string {
	seen := map[string]string{t.Self.Name: fmt.Sprintf("%s, sees %s, %d of %d", t.Standing, t.Level, t.View.Seen, t.View.AgreedSize)}
	for _, m := range t.Members {
		seen[m.Name] = m.State.String()
		if m.Link != membership.LinkClear {
			seen[m.Name] += ", " + m.Link.String()
		}
	}
	return seen
}

// printChanges prints a line for each name that is seen otherwise than before, and one for each that is no longer seen.
func printChanges(was, now map[string]string) {
	for name, is := range now {
		if was[name] != is {
			fmt.Printf("%s %s: %s\n", time.Now().Format(time.TimeOnly), name, is)
		}
	}
	for name := range was {
		if now[name] == "" {
			fmt.Printf("%s %s: forgotten\n", time.Now().Format(time.TimeOnly), name)
		}
	}
}

type leaveCommand struct{ asked }

// Run has the dispatcher leave.
func (c *leaveCommand) Run() error {
	t, err := c.ask(cluster.AskLeave, 0)
	if err == nil {
		fmt.Printf("%s has left, and serves on alone\n", t.Self.Name)
	}
	return err
}

type fleetKeyCommand struct{}

// Run prints a key.
func (fleetKeyCommand) Run() error { //nolint:unparam // kong runs commands of this signature alone
	fmt.Println(cluster.NewKey())
	return nil
}
