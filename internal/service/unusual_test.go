package service

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
)

type fields map[string]any

// unusual is a configuration whose every name and figure is another than the platform's usual ones, with changes to it.
func unusual(listen, changelog string, changes, limits fields, classes ...fields) string {
	set := fields{
		"balancers": 7, "index": 3, "zones": []string{"Zürich 2"}, "machineTypes": []string{"up", "edge/9", "root"}, "zone": 0,
		"classes": classes,
		"extra":   fields{"shieldKind": 0, "sourceKind": 2, "noteLevel": "silent", "seatsByZone": []int{7}, "goneEverywhere": 777_000, "straight": true},
		"rules":   fields{"coldFrom": 0.031, "rampTime": 333_333, "tipMultiple": 1.07, "fall": 12_345},
	}
	all := fields{"maxAttempts": 3, "mayCancel": true, "secondCopies": true, "connectTimeout": 61_000, "idleClose": 997_000, "maxStreams": 3, "mostHeld": 41}
	maps.Copy(all, limits)
	set["limits"] = all
	maps.Copy(set, changes)
	raw, _ := json.Marshal(fields{
		"name": "odd", "listen": listen, "seed": "0000000000000001", "changelog": changelog, "settings": set,
		"limits": fields{"cores": 0.3, "memory_mb": 37, "sockets": 131}, "known": fields{"seq": 0, "results": []any{}},
	})
	return string(raw)
}

// class is one with a deadline in ms and an effect.
func class(name string, deadline int, effect string, changes fields) fields {
	c := fields{"name": name, "aim": deadline * 500, "deadline": deadline * 1000, "effect": effect, "dedupScope": "cell", "repeatWindow": deadline * 300, "worth": 0.013}
	maps.Copy(c, changes)
	return c
}

// Whatever a customer's settings are, each GET has one answer in its time. Of the answers of hosts a third never comes, and a third are errors.
func TestUnusualSettings(t *testing.T) {
	one, effects := []fields{class("grüße-α", 400, "safe", nil)}, []string{"safe", "keyed", "unsafe", "unheard of"}
	var twenty []fields
	for i := range 20 {
		twenty = append(twenty, class(fmt.Sprint("k", i), 250+13*i, effects[i%4], nil))
	}
	for name, tt := range map[string]struct {
		changes, limits fields
		classes         []fields
	}{
		"one delivery service":           {nil, nil, one},
		"twenty delivery services":       {nil, nil, twenty},
		"less time than a dial may take": {nil, fields{"connectTimeout": 400_000}, []fields{class("short", 60, "safe", nil)}},
		"one stream":                     {nil, fields{"maxStreams": 1}, one},
		"one GET held":                   {nil, fields{"mostHeld": 1}, one},
		"one forward":                    {nil, fields{"maxAttempts": 1}, one},
		"nothing may be cancelled":       {nil, fields{"mayCancel": false, "secondCopies": false}, one},
		"a window shorter than a tick":   {nil, nil, []fields{class("keyed", 400, "keyed", fields{"repeatWindow": 3_000, "dedupScope": "all"})}},
		"no window":                      {nil, nil, []fields{class("keyed", 400, "keyed", fields{"repeatWindow": 0})}},
		"zones of one name":              {fields{"zones": []string{"Zürich 2", "Zürich 2"}, "zone": 0}, nil, one},
		"no objective":                   {nil, nil, []fields{class("idle", 400, "safe", fields{"aim": 0, "worth": 0})}},
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int64
			answer := func(a standin.Ask) string {
				if a.Stop {
					return ""
				}
				return []string{"", standin.Answer(a.ID, "FAULT", "-", ""), standin.Hit(a.ID, "")}[asked.Add(1)%3] // of size zero
			}
			changes := changeLog(t)
			var hosts []fields
			for i := range 5 {
				kind := []string{"edge/9", "edge/9", "edge/9", "up", "root"}[i]
				hosts = append(hosts, fields{"instanceId": fmt.Sprint("ŝ", i), "hostPort": need.Host(t, answer).Address, "zone": "Zürich 2", "machineType": kind, "lifecycle": "SERVING"})
			}
			raw := need.Of(json.Marshal(fields{"seq": 1, "fleet": fields{"generation": 1, "reset": true, "instances": hosts}}))(t)
			changes.Push(string(raw))
			c := need.Of(read(t, unusual(standin.Free(), changes.Address, tt.changes, tt.limits, tt.classes...)))(t)
			d := rig.Start(t, c.Listen, func(log io.Writer, signals <-chan os.Signal) error {
				return Run(c, nil, zerolog.New(log), signals, nil)
			})
			var all sync.WaitGroup
			kinds := make(chan string, 30)
			for i := range 30 {
				class := tt.classes[i%len(tt.classes)]
				budget := time.Duration(class["deadline"].(int)) * time.Microsecond
				client := d.Dial()
				all.Go(func() {
					began := time.Now()
					get := standin.Fields(rig.Fresh("method", class["name"].(string), "budget", fmt.Sprint(budget.Milliseconds()), "obj", fmt.Sprintf("%016x", i%7))...)
					_, err := client.Process(get, "")
					assert.NoError(t, err)
					_ = client.Conn.SetReadDeadline(began.Add(5 * time.Second))
					got, err := client.Read()
					assert.NoError(t, err)
					assert.Less(t, time.Since(began), budget+50*time.Millisecond)
					kinds <- got.Kind
					good, err := client.Probe()
					assert.True(t, good && err == nil, "nothing else comes")
				})
			}
			all.Wait()
			close(kinds)
			seen := map[string]int{}
			for kind := range kinds {
				seen[kind]++
			}
			assert.Equal(t, 30, seen["served"]+seen["refused"]+seen["failed"], "%v", seen)
			assert.Positive(t, seen["served"], "%v", seen)
			d.End()
			assert.NotContains(t, d.Out.String(), "broke")
		})
	}
}

// Settings that no GET could be served by are told of at the start, each fault by its name.
func TestSettingsThatNothingCanBeServedBy(t *testing.T) {
	good := class("a", 400, "safe", nil)
	for want, tt := range map[string]struct {
		limits  fields
		classes []fields
	}{
		`deadline of class "b"`:    {nil, []fields{good, class("b", 0, "safe", nil)}},
		`class "a" is named twice`: {nil, []fields{good, good}},
		"a class without a name":   {nil, []fields{class("", 400, "safe", nil)}},
		"maxAttempts":              {fields{"maxAttempts": -1}, []fields{good}},
		"connectTimeout":           {fields{"connectTimeout": -1}, []fields{good}},
		"idleClose":                {fields{"idleClose": -1}, []fields{good}},
	} {
		_, err := read(t, unusual("127.0.0.1:1", "127.0.0.1:1", nil, tt.limits, tt.classes...))
		require.Error(t, err, want)
		assert.ErrorContains(t, err, want)
	}
}
