// Command elderwall-operator is what elderwall becomes with an operator's own file or with a command: the same
// dispatcher with what the file adds, and the tools that operators need beside it.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"elderwall/internal/extensions"
	"elderwall/internal/service"
)

// columnGap is how many spaces stand between the columns of printed tables.
const columnGap = 2

// commands is the command line; without a word it serves.
type commands struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve GETs as PROXY_CONFIG says. This is what happens without a command."`
	Check   checkCommand   `cmd:"" help:"Check an operator's file with all that it names, and tell every fault."`
	Keys    keysCommand    `cmd:"" help:"Keep the keys that callers' tokens are signed by."`
	Token   tokenCommand   `cmd:"" help:"Sign a token, or show what one says."`
	Load    loadCommand    `cmd:"" help:"Run an experiment: loads against dispatchers, in turn, with tables of what came of it."`
	Emulate emulateCommand `cmd:"" help:"Play scenarios with no sockets: dispatchers, caches, parents, an origin and clients on one clock and one seed."`
	Fleet   fleetCommand   `cmd:"" help:"Ask dispatchers that know each other."`
	Farm    farmCommand    `cmd:"" help:"Play cache hosts, parents, an origin and the change log, fast enough to load many cores."`
}

// serveCommand is the dispatcher itself.
type serveCommand struct {
	Operator string `help:"The operator's own file; without one only what the platform's configuration says is on." env:"ELDERWALL_OPERATOR" placeholder:"FILE"`
	Cores    int    `help:"Cores to use, with as many shards; before what the file says." placeholder:"N"`
}

// Run serves until a signal ends it.
func (s *serveCommand) Run() error {
	switch {
	case s.Operator == "" && s.Cores == 0:
		return service.Serve(nil)
	case s.Operator == "":
		return service.Serve(func(*service.Config) (service.Extension, error) { return extensions.Alone(s.Cores), nil })
	}
	return service.Serve(func(c *service.Config) (service.Extension, error) {
		return extensions.Read(s.Operator, c.Name, c.Services(), c.Repeats(), s.Cores)
	})
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("elderwall"), kong.UsageOnError(),
		kong.Description("A GET router for caches filled from parents and an origin."))
	parsed.BindTo(parsed, (*interface{ Command() string })(nil))
	err := parsed.Run()
	if status := exitStatus(0); errors.As(err, &status) {
		os.Exit(int(status))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "elderwall:", err)
		os.Exit(1)
	}
}
