// Package load plays clients against dispatchers: an experiment's plan is a file, its results are a table and JSON that
// later runs can be held against. Delays run from the moment at which a GET was to be sent, so that a dispatcher which
// holds up its clients does not make its own figures better (coordinated omission).
package load

import (
	"errors"
	"fmt"
	"os"

	"elderwall/internal/configfile"
	"elderwall/internal/standin"
)

// Plan is an experiment: every case, with every subject, so many rounds in turn.
type Plan struct {
	Text     string `json:"-"`
	Rounds   int
	Seconds  float64 // of each case that count
	Warm     float64 // s; before them
	Seed     uint64
	Farm     standin.FarmOptions
	Subjects []Subject
	Cases    []Case
}

// Subject is one dispatcher, with what it is started by.
type Subject struct {
	Name, Program, Operator, Token string
	Args                           []string
	Cores, MemoryMB, Sockets       int
}

// Case is one load.
type Case struct {
	Name        string
	Rate        float64 // GETs a second; 0 is a closed loop
	OfPeak      float64 // share of the peak of another case by which the rate is set instead
	Peak        string  // that case
	Connections int
	UnderWay    int // GETs on one connection
	Objects     int
	Parts       int
	Zipf        float64 // exponent by which objects are asked for, 0 for evenly
	Hot         float64 // share of GETs that are for one object
	Body        int64   // bytes that a GET carries
	Service     string
	Budget      float64 // s
	GiveUp      float64 // share of clients that leave
	Patience    float64 // s; after which they do
	Again       int     // times that a client comes again when it left or was shed
	Skew        float64 // share of GETs that come on one connection
}

const (
	mostSeconds = 3600.0
	mostClients = 4096
	mostObjects = 1 << 24
	mostBody    = 240_000
	mostOpen    = 32 // GETs on one connection, by the protocol
)

// Read reads a plan.
func Read(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return decode(path, string(raw))
}

func decode(path, text string) (*Plan, error) {
	o, f, err := configfile.Open(path, text)
	if err != nil {
		return nil, err
	}
	p := &Plan{
		Text: text, Rounds: 1, Seconds: 5, Warm: 1, Seed: 1,
		Farm: standin.FarmOptions{Caches: 4, Parents: 1, Bytes: 1000, Holds: 1 << 16},
	}
	o.Count("rounds", &p.Rounds, 1, 1000)
	o.Duration("seconds", &p.Seconds, 0.05, mostSeconds)
	o.Duration("warm", &p.Warm, 0, mostSeconds)
	seed := 1
	o.Count("seed", &seed, 0, 1<<31)
	p.Seed = uint64(seed)
	if farm := o.Inner("farm"); farm != nil {
		p.farm(farm)
	}
	if subjects := o.Inner("subjects"); subjects != nil {
		for _, name := range subjects.Keys() {
			s := Subject{Name: name, Cores: 1, MemoryMB: 192, Sockets: 1024}
			if one := subjects.Inner(name); one != nil {
				one.Text("program", &s.Program)
				one.Text("operator", &s.Operator)
				one.Text("token", &s.Token)
				s.Args = one.Texts("args")
				one.Count("cores", &s.Cores, 1, 1024)
				one.Count("memory_mb", &s.MemoryMB, 16, 1<<20)
				one.Count("sockets", &s.Sockets, 64, 1<<20)
				one.Done()
			}
			p.Subjects = append(p.Subjects, s)
		}
	}
	for i, v := range o.List("cases") {
		p.Cases = append(p.Cases, p.oneCase(o.Element("cases", i, v)))
	}
	o.Done()
	if len(p.Cases) == 0 {
		o.Fault("cases", "there are none")
	}
	return p, errors.Join(f.All...)
}

func (p *Plan) farm(o *configfile.Object) {
	o.Count("caches", &p.Farm.Caches, 1, 1000)
	o.Count("parents", &p.Farm.Parents, 0, 1000)
	o.Count("holds", &p.Farm.Holds, 1, mostObjects)
	bytes := int64(p.Farm.Bytes)
	o.Size("bytes", &bytes, 0, mostBody)
	p.Farm.Bytes = int(bytes)
	var fill, serve float64
	o.Duration("fill", &fill, 0, 60)
	o.Duration("serve", &serve, 0, 60)
	p.Farm.Fill, p.Farm.Serve = duration(fill), duration(serve)
	o.Done()
}

func (p *Plan) oneCase(o *configfile.Object) Case {
	c := Case{Connections: 32, UnderWay: 16, Objects: 10000, Parts: 1, Service: "segment", Budget: 5}
	o.Text("name", &c.Name)
	o.Rate("rate", &c.Rate, 0.1, 1e7)
	o.Number("of_peak", &c.OfPeak, 0.01, 10)
	o.Text("peak", &c.Peak)
	o.Count("connections", &c.Connections, 1, mostClients)
	o.Count("under_way", &c.UnderWay, 1, mostOpen)
	o.Count("objects", &c.Objects, 1, mostObjects)
	o.Count("parts", &c.Parts, 1, 1<<16)
	o.Number("zipf", &c.Zipf, 1.001, 10)
	o.Number("hot", &c.Hot, 0, 1)
	o.Size("body", &c.Body, 0, mostBody)
	o.Text("service", &c.Service)
	o.Duration("budget", &c.Budget, 0.001, 60)
	o.Number("give_up", &c.GiveUp, 0, 1)
	o.Duration("patience", &c.Patience, 0, 60)
	o.Count("again", &c.Again, 0, 100)
	o.Number("skew", &c.Skew, 0, 1)
	o.Done()
	if c.Name == "" {
		o.Fault("name", "is needed")
	}
	if (c.OfPeak > 0) != (c.Peak != "") || c.OfPeak > 0 && c.Rate > 0 {
		o.Fault("of_peak", "goes with peak, and not with rate")
	}
	known := false
	for _, before := range p.Cases {
		known = known || before.Name == c.Peak && before.Rate == 0 && before.OfPeak == 0
	}
	if c.Peak != "" && !known {
		o.Fault("peak", "%q is no closed loop that comes before", c.Peak)
	}
	return c
}
