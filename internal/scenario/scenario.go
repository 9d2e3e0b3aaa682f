// Package scenario reads the scenarios of the emulator from Jsonnet files.
package scenario

import (
	"errors"
	"fmt"
	"os"

	"elderwall/emulator"
	"elderwall/internal/configfile"
)

const (
	most  = 1e9
	times = 3600.0 // s
)

// Read reads a scenario.
func Read(path string) (emulator.Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return emulator.Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	return Decode(path, string(raw))
}

// Decode takes a scenario's text; what it does not name is as in emulator.Default.
func Decode(path, text string) (emulator.Scenario, error) {
	s := emulator.Default()
	o, f, err := configfile.Open(path, text)
	if err != nil {
		return s, err
	}
	seed := 1
	o.Count("seed", &seed, 0, 1<<31)
	s.Seed = uint64(seed)
	for key, to := range map[string]*int{
		"dispatchers": &s.Dispatchers, "caches": &s.Caches, "cells": &s.Cells, "parents": &s.Parents,
		"slots": &s.Slots, "queue": &s.Queue, "holds": &s.Holds, "parent_slots": &s.ParentSlots, "parent_holds": &s.ParentHolds,
		"origin_slots": &s.OriginSlots, "objects": &s.Objects, "again": &s.Again, "max_forwards": &s.MaxForwards, "shards": &s.Shards, "zones": &s.Zones,
	} {
		o.Count(key, to, 0, most)
	}
	for key, to := range map[string]*float64{
		"seconds": &s.Seconds, "warm": &s.Warm, "serve": &s.Serve, "origin_serve": &s.OriginServe,
		"link": &s.Link, "connect": &s.Connect, "idle_close": &s.IdleClose, "news": &s.News, "objective": &s.Objective,
		"viewer_timeout": &s.ViewerTimeout,
	} {
		o.Duration(key, to, 0, times)
	}
	o.Rate("rate", &s.Rate, 0.01, most)
	o.Number("zipf", &s.Zipf, 0, 10)
	for key, to := range map[string]*float64{
		"kb": &s.KB, "spread": &s.Spread, "pace": &s.Pace, "cache_kb": &s.CacheKB,
		"parent_kb": &s.ParentKB, "origin_kb": &s.OriginKB, "way_in_kb": &s.WayInKB,
	} {
		o.Number(key, to, 0, most)
	}
	o.Flag("tells", &s.Tells)
	o.Number("retry_share", &s.Retries.Share, 0, 10)
	o.Rate("retry_floor", &s.Retries.Floor, 0, most)
	for i, v := range o.List("troubles") {
		s.Troubles = append(s.Troubles, trouble(o.Element("troubles", i, v)))
	}
	o.Done()
	if len(f.All) == 0 {
		if err := s.Check(); err != nil {
			f.Each(nil, err)
		}
	}
	return s, errors.Join(f.All...)
}

func trouble(o *configfile.Object) (t emulator.Trouble) {
	o.Word("kind", &t.Kind, emulator.Kinds...)
	o.Duration("at", &t.At, 0, times)
	o.Duration("for", &t.For, 0, times)
	o.Number("share", &t.Share, 0, 1)
	o.Count("cells", &t.Cells, 0, most)
	o.Number("factor", &t.Factor, 0.01, 1e6)
	o.Rate("rate", &t.Rate, 0.01, most)
	o.Flag("cold", &t.Cold)
	if o.Done(); t.Kind == "" {
		o.Fault("kind", "is needed")
	}
	return t
}
