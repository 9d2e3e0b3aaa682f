// Command toy plays what a dispatcher with the example configuration talks to: two caches, a parent, an origin
// and the change log, all in one process on loopback.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"strings"
	"sync"
	"time"

	"elderwall/internal/standin"
)

// store is what a cache or the parent holds.
type store struct {
	mu   sync.Mutex
	held map[string]string
}

func (s *store) look(name string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes, ok := s.held[name]
	return bytes, ok
}

func (s *store) keep(name, bytes string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[name] = bytes
}

// origin makes the bytes of a part, slowly.
func origin(name string) string {
	time.Sleep(40 * time.Millisecond)
	return strings.Repeat("part "+name+" of the origin\n", 100)
}

// cache answers from what it holds, and fills what it lacks from the named source.
func cache(name string, parent *store) func(standin.Ask) string {
	own := &store{held: map[string]string{}}
	return func(a standin.Ask) string {
		if a.Stop {
			return ""
		}
		item := a.Fields["path"] + "/" + a.Fields["blk"]
		detail := "mem"
		bytes, held := own.look(item)
		if !held {
			if a.Fields["up"] == "" {
				return standin.Answer(a.ID, "NONE", "-", "")
			}
			detail, bytes = fill(a, item, parent)
			if a.Fields["store"] != "" {
				own.keep(item, bytes)
			}
		}
		log.Printf("%s: %s by %s", name, item, detail)
		return standin.Answer(a.ID, "HIT", fmt.Sprintf("rev=%s,since=%d,detail=%s", a.Fields["path"], time.Now().UnixMilli(), detail), bytes)
	}
}

// fill gets a part from the parent, which gets what it lacks from the origin, or from the origin itself.
func fill(a standin.Ask, item string, parent *store) (detail, bytes string) {
	if a.Fields["up"] != "parent-1" {
		return "origin", origin(item)
	}
	if bytes, held := parent.look(item); held {
		return "parent", bytes
	}
	bytes = origin(item)
	parent.keep(item, bytes)
	return "origin", bytes
}

func main() {
	parent := &store{held: map[string]string{}}
	var entries []string
	for _, h := range []struct{ name, address, zone, kind string }{
		{"cache-1", "127.0.0.1:4201", "town", "cache"},
		{"cache-2", "127.0.0.1:4202", "town", "cache"},
		{"parent-1", "127.0.0.1:4211", "hub", "parent"},
		{"origin-1", "127.0.0.1:4221", "hub", "origin"},
	} {
		if _, err := standin.Listen(h.address, cache(h.name, parent)); err != nil {
			log.Fatal(err)
		}
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":%q,"cell":0,`+
			`"lifecycle":"SERVING","weight":1,"startedAtMs":0}`, h.name, h.address, h.zone, h.kind))
	}
	changes, err := standin.ListenChangeLog("127.0.0.1:7070")
	if err != nil {
		log.Fatal(err)
	}
	changes.Push(`{"seq":1,"fleet":{"generation":1,"reset":true,"instances":[` + strings.Join(entries, ",") + `]}}`)
	log.Print("two caches, a parent, an origin and the change log are up; end with an interrupt")
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt)
	<-ended
}
