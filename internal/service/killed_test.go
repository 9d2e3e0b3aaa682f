package service

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
)

// A real process is told to end and killed as early as the platform may, while clients go on sending on open connections and new ones come: it has
// ended by itself before, and every request that came before its connection's end has its answer.
func TestAProcessThatIsKilledHasAnsweredWhatItRead(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "elderwall")
	out, err := exec.Command("go", "build", "-o", binary, "elderwall/cmd/elderwall").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, tt := range []struct {
		deadline time.Duration
		hangs    bool // hosts answer nothing
	}{{60 * time.Millisecond, false}, {150 * time.Millisecond, false}, {150 * time.Millisecond, true}, {300 * time.Millisecond, true}, {time.Second, false}, {time.Second, true}} {
		t.Run(fmt.Sprint(tt.deadline, ", hosts hang ", tt.hangs), func(t *testing.T) {
			answer := standin.Hits("bytes")
			if tt.hangs {
				answer = func(standin.Ask) string { return "" }
			}
			h := need.Host(t, answer)
			log, address := changeLog(t), standin.Free()
			log.Push(standin.List(1, true, "s-1 "+h.Address+" std SERVING", source))
			config := filepath.Join(t.TempDir(), "config.json")
			text := strings.Replace(standin.Config(address, log.Address, "", 1000), `"deadline":59999500`, fmt.Sprint(`"deadline":`, tt.deadline.Microseconds()), 1)
			require.NoError(t, os.WriteFile(config, []byte(text), 0o600))
			p := exec.Command(binary)
			p.Env, p.Stderr = append(os.Environ(), "PROXY_CONFIG="+config), io.Discard
			p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			require.NoError(t, p.Start())
			ended := make(chan error, 1)
			go func() { ended <- p.Wait() }()
			need.Soon(t, func() bool { return need.Ready(address) })
			clients := &pressing{address: address, budget: tt.deadline}
			for range 20 {
				clients.connect()
			}
			time.Sleep(200 * time.Millisecond)
			require.NoError(t, p.Process.Signal(syscall.SIGTERM))
			told := time.Now()
			for time.Since(told) < 400*time.Millisecond {
				clients.connect()
				time.Sleep(10 * time.Millisecond)
			}
			kill := time.After(time.Until(told.Add(min(tt.deadline, longestWait) + stillComing)))
			select {
			case err := <-ended:
				assert.NoError(t, err)
			case <-kill:
				_ = p.Process.Kill()
				assert.Fail(t, "it has not ended by itself", "killed: %v", <-ended)
			}
			clients.all.Wait()
			assert.Positive(t, clients.answered.Load())
			assert.Zero(t, clients.lost.Load(), "of %d", clients.answered.Load())
		})
	}
}

// pressing is clients that go on sending whatever happens, until their connection ends.
type pressing struct {
	address        string
	budget         time.Duration
	all            sync.WaitGroup
	answered, lost atomic.Int64
}

// crosses is how long before the end of its connection a request may be sent and have no answer: its client sends it again.
const crosses = 50 * time.Millisecond

func (p *pressing) connect() {
	c, err := standin.Dial(p.address)
	if err != nil { // nothing was sent
		return
	}
	var mu sync.Mutex
	sent := map[int32]time.Time{}
	p.all.Go(func() {
		for {
			mu.Lock()
			seq, err := c.Process(standin.Fields(rig.Fresh("budget", fmt.Sprint(p.budget.Milliseconds()))...), "")
			if err == nil {
				sent[seq] = time.Now()
			}
			mu.Unlock()
			if err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	p.all.Go(func() {
		for {
			r, err := c.Read()
			mu.Lock()
			if err != nil {
				end := time.Now()
				for _, at := range sent {
					if end.Sub(at) > crosses {
						p.lost.Add(1)
					}
				}
				mu.Unlock()
				_ = c.Conn.Close()
				return
			}
			delete(sent, r.Seq)
			mu.Unlock()
			p.answered.Add(1)
		}
	})
}
