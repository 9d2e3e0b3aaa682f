// Command measure holds dispatchers against one another on loopback: in turn, round by round, each answers the same
// closed loop of GETs between the same stand-ins. It prints GETs a second, delays and resident memory of each.
//
//	measure -rounds 5 before=/tmp/elderwall off=bin/elderwall token=bin/elderwall,callers.jsonnet,TOKEN
//
// Each dispatcher is a name and a program, and where callers are on the operator's file and the token of all GETs. With
// a token of "cert:CHAIN:KEY:CA:ADDRESS" the GETs go to the listener for TLS at that address by a certificate.
package main

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"elderwall/internal/standin"
)

const (
	listen     = "127.0.0.1:4191"
	longest    = 10_000_000 // µs; the longest delay that a histogram keeps
	connectFor = 5 * time.Second
)

// subject is one dispatcher that is measured.
type subject struct {
	name, program, operator, token string

	delays   *hdrhistogram.Histogram // µs
	gets     int64
	seconds  float64
	resident []string
	cpu      time.Duration
}

func main() {
	rounds := flag.Int("rounds", 3, "how often each is measured, in turn")
	seconds := flag.Float64("seconds", 2, "how long each time")
	clients := flag.Int("clients", 32, "connections, each with one GET at a time")
	flag.Parse()
	var all []*subject
	for _, told := range flag.Args() {
		name, rest, _ := strings.Cut(told, "=")
		words := strings.SplitN(rest+",,", ",", 4)
		all = append(all, &subject{name: name, program: words[0], operator: words[1], token: words[2],
			delays: hdrhistogram.New(1, longest, 3)})
	}
	host, err := standin.Listen("127.0.0.1:0", func(a standin.Ask) string {
		if a.Stop {
			return ""
		}
		return standin.Hit(a.ID, strings.Repeat("x", 1000))
	})
	check(err)
	changes, err := standin.ListenChangeLog("127.0.0.1:0")
	check(err)
	changes.Push(standin.List(1, true, "s-1 "+host.Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING"))
	dir, err := os.MkdirTemp("", "measure")
	check(err)
	defer func() { _ = os.RemoveAll(dir) }()
	config := filepath.Join(dir, "config.json")
	check(os.WriteFile(config, []byte(standin.Config(listen, changes.Address, "", 20000)), 0o600))
	for range *rounds {
		for _, s := range all {
			check(s.run(config, *clients, time.Duration(*seconds*float64(time.Second))))
		}
	}
	fmt.Printf("%-10s %10s %9s %9s %9s %9s %12s  %s\n", "", "GETs/s", "50 % ms", "99 % ms", "99.9 %", "max ms", "CPU µs/GET", "resident kB")
	for _, s := range all {
		ms := func(q float64) float64 { return float64(s.delays.ValueAtQuantile(q)) / 1e3 }
		fmt.Printf("%-10s %10.0f %9.2f %9.2f %9.2f %9.2f %12.1f  %s\n", s.name, float64(s.gets)/s.seconds, ms(50), ms(99), ms(99.9),
			float64(s.delays.Max())/1e3, float64(s.cpu.Microseconds())/float64(s.gets), strings.Join(s.resident, " "))
	}
}

func check(err error) {
	if err != nil {
		log.Fatal(err)
	}
}

// run starts the dispatcher, loads it for a while and ends it.
func (s *subject) run(config string, clients int, span time.Duration) error {
	c := exec.Command(s.program)
	c.Env = append(os.Environ(), "PROXY_CONFIG="+config, "ELDERWALL_OPERATOR="+s.operator)
	if err := c.Start(); err != nil {
		return err
	}
	defer func() {
		_ = c.Process.Signal(syscall.SIGTERM)
		_ = c.Wait()
		s.cpu += c.ProcessState.UserTime() + c.ProcessState.SystemTime()
	}()
	if err := s.wait(); err != nil {
		return err
	}
	var mu sync.Mutex
	var loops sync.WaitGroup
	failed := make(chan error, clients)
	end := time.Now().Add(span)
	for i := range clients {
		loops.Go(func() {
			h := hdrhistogram.New(1, longest, 3)
			if err := s.loop(i, end, h); err != nil {
				failed <- err
			}
			mu.Lock()
			defer mu.Unlock()
			s.delays.Merge(h)
			s.gets += h.TotalCount()
		})
	}
	loops.Wait()
	s.seconds += span.Seconds()
	s.resident = append(s.resident, resident(c.Process.Pid))
	select {
	case err := <-failed:
		return fmt.Errorf("%s: %w", s.name, err)
	default:
		return nil
	}
}

func (s *subject) wait() error {
	for began := time.Now(); time.Since(began) < connectFor; time.Sleep(5 * time.Millisecond) {
		c, err := standin.Dial(listen)
		if err != nil {
			continue
		}
		good, err := c.Probe()
		_ = c.Conn.Close()
		if good && err == nil {
			return nil
		}
	}
	return errors.New(s.name + " does not come up")
}

func (s *subject) dial() (*standin.Client, error) {
	words := strings.Split(s.token, ":")
	if words[0] != "cert" {
		return standin.Dial(listen)
	}
	pair, err := tls.LoadX509KeyPair(words[1], words[2])
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(words[3])
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(raw)
	return standin.DialTLS(words[4]+":"+words[5], &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool})
}

// loop asks one GET after another.
func (s *subject) loop(n int, end time.Time, h *hdrhistogram.Histogram) error {
	c, err := s.dial()
	if err != nil {
		return err
	}
	defer func() { _ = c.Conn.Close() }()
	token := s.token
	if strings.HasPrefix(token, "cert:") {
		token = ""
	}
	for i := 0; ; i++ {
		began := time.Now()
		if began.After(end) {
			return nil
		}
		if _, err := c.Process(standin.Fields("rid", fmt.Sprintf("%08x%08x", n, i), "obj", fmt.Sprintf("%016x", i%64), "token", token), ""); err != nil {
			return err
		}
		r, err := c.Read()
		if err != nil {
			return err
		}
		if r.Kind != "served" {
			return fmt.Errorf("%s: %v", r.Kind, r.Fields)
		}
		_ = h.RecordValue(max(1, time.Since(began).Microseconds()))
	}
}

// resident is what the process holds now.
func resident(pid int) string {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strings.Fields(text)[0]
		}
	}
	return "?"
}
