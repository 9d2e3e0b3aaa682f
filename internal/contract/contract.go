// Package contract has suites that all that stand on one side of a seam must pass: stores, transports, laws of merging, orders of channels.
// Each is written against the smallest interface that both sides need. Tests import it, the product does not. Each suite is proven by
// implementations with one fault each, which it must refuse.
package contract

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

// Bounds of all suites.
const (
	within = 3 * time.Second        // what must come, or end, has done so by then
	brief  = 150 * time.Millisecond // what must not come is waited for so long
)

// in has something done within a bound, and fails the test where it does not end.
func in(t testing.TB, most time.Duration, what string, do func()) bool {
	t.Helper()
	done := make(chan struct{})
	go func() { defer close(done); do() }()
	select {
	case <-done:
		return true
	case <-time.After(most):
		t.Errorf("%s: not within %v", what, most)
		return false
	}
}

// Refused tells whether a suite refuses something, and with which words.
func Refused(t *testing.T, suite func(t testing.TB)) (words []string) {
	t.Helper()
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer r.end()
		suite(r)
	}()
	<-done
	r.mu.Lock() // what waits without end may speak later
	defer r.mu.Unlock()
	return slices.Clone(r.words)
}

// recorder stands in for a test that is meant to fail.
type recorder struct {
	testing.TB
	mu    sync.Mutex
	words []string
	last  []func()
}

func (r *recorder) say(words string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.words = append(r.words, words)
}

func (r *recorder) end() {
	if what := recover(); what != nil {
		r.say(fmt.Sprint("panic: ", what))
	}
	for i := len(r.last) - 1; i >= 0; i-- {
		r.last[i]()
	}
}

func (r *recorder) Helper()                        {}
func (r *recorder) Log(...any)                     {}
func (r *recorder) Logf(string, ...any)            {}
func (r *recorder) Cleanup(do func())              { r.last = append(r.last, do) }
func (r *recorder) Error(a ...any)                 { r.say(fmt.Sprint(a...)) }
func (r *recorder) Errorf(format string, a ...any) { r.say(fmt.Sprintf(format, a...)) }
func (r *recorder) Fail()                          { r.say("fail") }
func (r *recorder) Failed() bool                   { r.mu.Lock(); defer r.mu.Unlock(); return len(r.words) > 0 }
func (r *recorder) FailNow()                       { r.say("fail"); runtime.Goexit() }
func (r *recorder) Fatal(a ...any)                 { r.say(fmt.Sprint(a...)); runtime.Goexit() }
func (r *recorder) Fatalf(format string, a ...any) {
	r.say(fmt.Sprintf(format, a...))
	runtime.Goexit()
}
