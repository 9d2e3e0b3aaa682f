package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"

	"elderwall/internal/load"
	"elderwall/internal/standin"
)

// loadCommand runs an experiment.
type loadCommand struct {
	Plan string `arg:"" help:"The plan, a Jsonnet file; examples/cores.jsonnet is one." type:"existingfile"`
	JSON string `help:"Where the results go as JSON, with the plan that they are of." type:"path" placeholder:"FILE"`
}

// Run runs it, and prints the table.
func (l *loadCommand) Run() error {
	plan, err := load.Read(l.Plan)
	if err != nil {
		return err
	}
	own, err := os.Executable()
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	r := load.Runner{Plan: plan, Farm: []string{own, "farm"}, Report: func(text string) { fmt.Fprintln(os.Stderr, text) }}
	results, failed := r.Run()
	if err := load.Table(os.Stdout, results); err != nil {
		return err
	}
	return errors.Join(failed, writeResults(l.JSON, struct {
		Plan    string         `json:"Plan"`
		Cores   int            `json:"Cores"`
		Results []*load.Result `json:"Results"`
	}{plan.Text, runtime.NumCPU(), results}))
}

// farmCommand plays cache hosts, parents, an origin and the change log.
type farmCommand struct {
	Caches  int           `default:"4" help:"Caches."`
	Parents int           `default:"1" help:"Parents."`
	Bytes   int           `default:"1000" help:"Bytes of each answer."`
	Holds   int           `default:"65536" help:"Objects that each cache keeps."`
	Fill    time.Duration `default:"0" help:"How long a miss takes."`
	Serve   time.Duration `default:"0" help:"How long a hit takes."`
}

// Run prints the address of the change log, then what it was asked for each line that it reads, until there are none.
func (f *farmCommand) Run() error {
	farm, err := standin.StartFarm(standin.FarmOptions{
		Caches: f.Caches, Parents: f.Parents, Bytes: f.Bytes, Holds: f.Holds,
		Fill: f.Fill, Serve: f.Serve,
	})
	if err != nil {
		return err
	}
	defer farm.Close()
	fmt.Println(farm.Changes.Address)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		fmt.Println(farm.Counts().Text())
	}
	return nil
}
