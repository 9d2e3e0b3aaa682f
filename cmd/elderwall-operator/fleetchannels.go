package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"elderwall/client"
	"elderwall/core/cluster/channel"
	"elderwall/internal/cluster"
	"elderwall/internal/operator"
)

// several are dispatchers, any of which will do.
type several struct {
	At  []string `required:"" help:"Fleet addresses of dispatchers; any of them will do." placeholder:"ADDR"`
	Key string   `help:"The fleet's key file; none where it has none." placeholder:"FILE"`
}

type followCommand struct {
	several
	Channel  string        `arg:"" help:"The channel."`
	Order    string        `help:"Ask for less than the channel declares: latest, key, sender or causal." enum:",latest,key,sender,causal,total" default:""`
	Position string        `help:"File that the position is kept in, and gone on from." type:"path" placeholder:"FILE"`
	For      time.Duration `help:"Stop after so long; never without." placeholder:"TIME"`
}

type followLine struct {
	Word       string `json:"word"`
	Key        string `json:"key,omitempty"`
	Writer     string `json:"writer,omitempty"`
	Number     uint64 `json:"number,omitempty"`
	Place      uint64 `json:"place,omitempty"`
	From       uint64 `json:"from,omitempty"`
	To         uint64 `json:"to,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	Late       bool   `json:"late,omitempty"`
	Body       string `json:"body,omitempty"`
}

var words = map[channel.EventKind]string{channel.EventEntry: "shown", channel.EventGap: "gap", channel.EventReset: "reset", channel.EventCutOff: "cut", channel.EventDeclarationChanged: "turned", channel.EventEnded: "ended"}

var orderWords = map[string]channel.Order{"": 0, "latest": channel.Latest, "key": channel.ByKey, "sender": channel.BySender, "causal": channel.Causal, "total": channel.Total}

// Run prints a line of JSON a note.
func (c *followCommand) Run() error {
	f, err := client.Open(c.At, c.Key)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if c.For > 0 {
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	position := ""
	if c.Position != "" {
		raw, err := os.ReadFile(c.Position)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		position = string(raw)
	}
	_, err = f.Follow(ctx, c.Channel, orderWords[c.Order], position, func(n client.Note) error {
		l := followLine{Word: words[n.Kind], Writer: n.Writer, From: n.From, To: n.To, Generation: n.Generation, Late: n.Late}
		if e := n.Entry; e != nil {
			l.Key, l.Writer, l.Number, l.Place, l.Body = e.Key, e.Writer, e.Number, e.Offset, string(e.Body)
		}
		raw, err := json.Marshal(l)
		if err == nil {
			_, err = fmt.Println(string(raw))
		}
		if err == nil && c.Position != "" && n.Position != "" {
			err = replace(c.Position, []byte(n.Position))
		}
		return err
	})
	if ctx.Err() != nil || errors.Is(err, channel.ErrWithdrawn) {
		return nil
	}
	return err
}

type publishCommand struct {
	several
	Channel string        `arg:"" help:"The channel."`
	Body    []string      `arg:"" optional:"" help:"The messages; with none, a line of the standard input each."`
	Of      string        `help:"The key that the messages are of." placeholder:"KEY"`
	State   string        `help:"File in which the writer's name and numbers are kept; needed to write. One file, one writer." type:"path" placeholder:"FILE"`
	Declare string        `help:"Declare channels from a file first, as under fleet.channels; without messages no more than that." type:"path" placeholder:"FILE"`
	End     bool          `help:"Withdraw the channel: readers are told, writers refused, and all that it keeps goes."`
	Within  time.Duration `help:"Give up after so long; what is pending goes out first the next time." default:"30s"`
}

// Run writes messages.
func (c *publishCommand) Run() error {
	f, err := client.Open(c.At, c.Key)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	if c.Declare != "" {
		if err := c.declare(ctx, f); err != nil || len(c.Body) == 0 {
			return err
		}
	}
	if c.End {
		return c.end(ctx, f)
	}
	if c.State == "" {
		return errors.New("--state: a writer that can't tell its numbers could write twice, or under a number that is taken")
	}
	from, err := c.state()
	if err != nil {
		return err
	}
	p := f.Publisher(c.Channel, from, func(s client.State) error {
		raw, err := json.Marshal(s)
		if err == nil {
			err = replace(c.State, raw)
		}
		return err
	})
	if len(c.Body) == 0 {
		return c.publishLines(ctx, p, os.Stdin)
	}
	var all []client.Message
	for _, b := range c.Body {
		all = append(all, client.Message{Key: c.Of, Body: []byte(b)})
	}
	return p.Publish(ctx, all...)
}

// declare declares the channels of a file.
func (c *publishCommand) declare(ctx context.Context, f *client.Fleet) error {
	all, err := operator.ReadDeclarations(c.Declare)
	if err != nil {
		return err
	}
	for _, d := range all {
		if err := f.Declare(ctx, d); err != nil {
			return err
		}
		fmt.Printf("%s: generation %d is declared\n", d.Name, d.Generation)
	}
	return nil
}

// end withdraws the channel.
func (c *publishCommand) end(ctx context.Context, f *client.Fleet) error {
	if len(c.Body) > 0 {
		return errors.New("--end: nothing can be written into a channel that is withdrawn")
	}
	generation, err := f.End(ctx, c.Channel)
	if err == nil {
		fmt.Printf("%s: ends with generation %d\n", c.Channel, generation)
	}
	return err
}

// state reads the writer's name and numbers; a writer that has no file yet is given a name.
func (c *publishCommand) state() (client.State, error) {
	var from client.State
	if raw, err := os.ReadFile(c.State); err == nil {
		if err := json.Unmarshal(raw, &from); err != nil {
			return from, fmt.Errorf("%s: %w", c.State, err)
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		return from, err
	}
	if from.Writer == "" {
		from.Writer = "w-" + cluster.NewKey()[:12]
	}
	return from, nil
}

// publishLines writes each line of an input as a message.
func (c *publishCommand) publishLines(ctx context.Context, p *client.Publisher, from io.Reader) error {
	in := bufio.NewScanner(from)
	in.Buffer(nil, channel.MaxBodyBytes+1)
	for in.Scan() {
		if err := p.Publish(ctx, client.Message{Key: c.Of, Body: []byte(in.Text())}); err != nil {
			return err
		}
	}
	return in.Err()
}
