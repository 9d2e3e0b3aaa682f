package cluster

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"elderwall/core/cluster/lease"
)

// Report is the duty to write one summary of the fleet's counters now and then.
const Report = "report"

const (
	// ReportEach is the time in seconds from one report to the next.
	ReportEach = 60.0

	reportLook  = 100 * time.Millisecond
	reportAsked = 32 // members that are asked at a time
	mostMissing = 50 // names that a line has
)

// report writes the reports while this dispatcher has the duty. Each has a number that the log gives out once: it is marked before it is
// written, so that no number is written twice, and told after; what the log has marked and nobody told is told as missing.
func (f *Fleet) report(ctx context.Context) error {
	look := time.NewTicker(reportLook)
	defer look.Stop()
	var due time.Time
	for {
		select {
		case <-look.C:
		case <-ctx.Done():
			return nil
		}
		if token, ok := f.Guard(Report); !ok || time.Now().Before(due) {
			if !ok {
				due = time.Time{}
			}
		} else if next, err := f.reportOnce(ctx, token); err != nil {
			f.Log.Warn().Err(err).Msg("duties: no report")
			due = time.Now().Add(time.Second)
		} else {
			due = next
		}
	}
}

func (f *Fleet) reportOnce(ctx context.Context, token uint64) (next time.Time, err error) {
	next = time.Now().Add(time.Duration(f.Duties.Report * float64(time.Second)))
	sums, answered, missing := f.gather(ctx)
	told, err := f.ask(ctx, ask{What: AskDuties})
	if err != nil {
		return next, err
	}
	var d lease.Duty
	for _, o := range told.Duties {
		if o.Name == Report {
			d = o.Duty
		}
	}
	number := d.Started + 1
	marked, err := f.ask(ctx, ask{What: AskCommand, Commands: []lease.Command{{Kind: lease.Started, Duty: Report, Token: token, Number: number}}})
	if err != nil || !marked.Changed {
		return next, err
	}
	if _, ok := f.Guard(Report); !ok { // the number is missing, as the next holder will tell
		return next, nil
	}
	line := f.Log.Info().Uint64("number", number).Uint64("token", token).Int("members", answered).Int("missing", len(missing)).
		Strs("missingNames", missing[:min(len(missing), mostMissing)])
	if d.Completed < d.Started {
		line = line.Uint64("notTold", d.Started-d.Completed)
	}
	for _, key := range []string{"GETs", "Returned", "Shed", "Errored", "Forwards", "Unreached"} {
		line = line.Int64(key, sums[key])
	}
	line.Msg("fleet report")
	_, err = f.ask(ctx, ask{What: AskCommand, Commands: []lease.Command{{Kind: lease.Completed, Duty: Report, Number: number}}})
	return next, err
}

// ask asks what only the leader answers, from here.
func (f *Fleet) ask(ctx context.Context, q ask) (Told, error) {
	t := f.answerDuties(ctx, q)
	if t.Error != "" {
		return t, errorOf(t.Error)
	}
	return t, nil
}

type errorOf string

func (e errorOf) Error() string { return string(e) }

// gather sums the counters of all members that answer, and names those that don't.
func (f *Fleet) gather(ctx context.Context) (sums map[string]int64, answered int, missing []string) {
	sums = map[string]int64{}
	type one struct {
		name   string
		counts map[string]int64
	}
	f.mu.Lock()
	known := f.machine.Members()
	f.mu.Unlock()
	got := make(chan one, len(known)+1)
	if f.Counters != nil {
		got <- one{f.Name, f.Counters()}
	}
	var group errgroup.Group
	group.SetLimit(reportAsked)
	for _, m := range known {
		switch {
		case m.State.Present():
			group.Go(func() error {
				if t, err := f.askOther(ctx, m.Address, ask{What: AskCounts}); err == nil {
					got <- one{m.Name, t.Counts}
				}
				return nil
			})
		case m.InLocalAgreedFleet:
			missing = append(missing, m.Name)
		}
	}
	_ = group.Wait()
	close(got)
	have := map[string]bool{}
	for o := range got {
		have[o.name] = true
		answered++
		for key, n := range o.counts {
			sums[key] += n
		}
	}
	for _, m := range known {
		if m.State.Present() && !have[m.Name] {
			missing = append(missing, m.Name)
		}
	}
	return sums, answered, missing
}
