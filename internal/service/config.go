package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"time"

	"elderwall/core/routing"
	"elderwall/core/settings"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
)

// Config is what a dispatcher is told.
type Config struct {
	Name   string `json:"Name"`
	Listen string `json:"Listen"`
	Seed   string `json:"Seed"`
	Limits struct {
		Cores    float64 `json:"Cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"Sockets"`
	} `json:"Limits"`
	Changelog string          `json:"Changelog"`
	Known     changelog.Known `json:"Known"`
	Settings  json.RawMessage `json:"Settings"`

	settings settings.Settings
}

// ReadConfig reads the file that the environment names, and checks what nothing can start without.
func ReadConfig(env func(string) string) (*Config, error) {
	raw, err := os.ReadFile(env("PROXY_CONFIG"))
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	c := &Config{}
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if listen := env("PROXY_LISTEN"); listen != "" {
		c.Listen = listen
	}
	if name := env("PROXY_NAME"); name != "" {
		c.Name = name
	}
	if c.settings, err = settings.Decode(c.Settings); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	c.settings.Seed = seed
	return c, c.check()
}

// Services is the delivery services by their place.
func (c *Config) Services() []string { return c.settings.Services }

// Repeats tells which delivery services' GETs may be repeated, by their place.
func (c *Config) Repeats() (may []bool) {
	for _, s := range c.settings.Settings.Services {
		may = append(may, s.Idempotency == routing.Idempotent)
	}
	return may
}

// Keyed is the names of the delivery services whose repeats hosts recognize by a key of each GET.
func (c *Config) Keyed() (names []string) {
	for i, s := range c.settings.Settings.Services {
		if s.NeedsKey() {
			names = append(names, c.settings.Services[i])
		}
	}
	return names
}

// check tells what nothing can start without.
func (c *Config) check() error {
	for _, address := range []string{c.Listen, c.Changelog} { // there is no DNS
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("configuration: listen, changelog: %w", err)
		}
	}
	switch {
	case c.Limits.MemoryMB <= 0 || c.Limits.Sockets <= 2*ownSockets:
		return errors.New("configuration: no memory, or too few sockets")
	case len(c.settings.Services) == 0:
		return errors.New("settings: no delivery services")
	case c.settings.MaxStreams <= 0 || c.settings.MaxHeldRequests <= 0:
		return errors.New("settings: no stream limit, or none on what is held")
	}
	return usable(c.settings)
}

// longest is the longest viewer timeout.
func (c *Config) longest() (most time.Duration) {
	for _, ds := range c.settings.Settings.Services {
		most = max(most, clock.Duration(ds.ViewerTimeout))
	}
	return most
}

// reload takes what of a new configuration can change while running, and names what can't.
func (c *Config) reload(to *Config) (moved bool, kept []string) {
	for _, part := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == to.Name},
		{"listen", c.Listen == to.Listen},
		{"seed", c.Seed == to.Seed},
		{"limits", c.Limits == to.Limits},
		{"settings", reflect.DeepEqual(c.settings, to.settings)},
	} {
		if !part.same {
			kept = append(kept, part.name)
		}
	}
	moved = c.Changelog != to.Changelog
	c.Changelog = to.Changelog
	return moved, kept
}
