package main

import (
	"fmt"
	"os"
	"strings"

	"elderwall/internal/operator"
	"elderwall/internal/service"
)

// checkCommand checks an operator's file.
type checkCommand struct {
	File string `arg:"" help:"The operator's file." type:"path"`
}

// Run prints every fault, a line each, and fails if there is one.
func (c *checkCommand) Run() error {
	var services []string
	var repeats []bool
	var keyed []string
	if os.Getenv("PROXY_CONFIG") != "" {
		platform, err := service.ReadConfig(os.Getenv)
		if err != nil {
			return err
		}
		services, repeats, keyed = platform.Services(), platform.Repeats(), platform.Keyed()
	}
	told, err := operator.Load(c.File, services)
	if err == nil && told.Variants != nil {
		err = told.Variants.Repeatable(services, repeats)
	}
	if err != nil {
		fmt.Println(err)
		return fmt.Errorf("%s can't be used", c.File)
	}
	if s := told.Callers; s != nil {
		fmt.Printf("callers: %d keys, %d tenants, %d roles, %d revoked tokens, %d subjects, %d certificates\n", len(s.Keys),
			len(s.Tenants), len(s.Roles), len(s.Revoked.Tokens), len(s.Revoked.Subjects), len(s.Revoked.Certificates))
	}
	if told.TLS != nil {
		fmt.Printf("tls: listens at %s, %d authorities\n", told.TLS.Listen, len(told.TLS.Prints))
	}
	if p := told.Proxies; p != nil {
		fmt.Printf("proxies: listens at %s, %d paths\n", p.Listen, len(p.Rules.Paths))
	}
	if f := told.Fleet; f != nil {
		fmt.Printf("fleet: listens at %s, %d peers to begin with, sealed: %v\n", f.Listen, len(f.Peers), f.Keys != nil)
	}
	for _, notice := range told.KeyNotices(keyed) {
		fmt.Printf("%s: %s (delivery services: %s)\n", notice.Section, notice.Text, strings.Join(notice.Services, ", "))
	}
	fmt.Println(c.File, "can be used")
	if len(services) == 0 {
		fmt.Println("delivery services were not checked: PROXY_CONFIG names no configuration")
	}
	return nil
}
