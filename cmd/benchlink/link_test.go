package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const options = `{"balancers":1,"classes":[{"aim":500000,"aimStretch":1,"deadline":5000000,"effect":"safe",` +
	`"dedupScope":"all","worth":1}],"extra":{"shieldKind":1,"sourceKind":2,"noteLevel":"all","seatsByZone":[1],` +
	`"goneEverywhere":6000000},"limits":{"maxAttempts":6,"mayCancel":true,"retryAfter":true,"maxRetryAfter":400000},` +
	`"rules":{"coldFrom":0.2,"rampTime":9000000,"tipMultiple":2,"fall":1000000},"unheardOf":[1],"zone":0}`

const fleet = `[[11,0,0,0,1,1,null],[21,0,1,0,1,1,null],[31,0,2,0,1,1,null]]`

func start(who int) string {
	return fmt.Sprintf(`["powerOn",%d,42,%s],["backendsChanged",%d,2,1,%s]`, who, options, who, fleet)
}

func demand(who, ref int) string {
	return fmt.Sprintf(`["demand",%d,%d,0,0,"a:x%d",9000000,null,3,0,0]`, who, ref, ref)
}

func batch(moment int, messages ...string) string {
	return fmt.Sprintf(`{"moment":%d,"happened":[%s]}`, moment, strings.Join(messages, ","))
}

// play runs lines through a link and gives back the replies and the report.
func play(t *testing.T, lines ...string) (replies []string, report string) {
	var out, errors bytes.Buffer
	require.NoError(t, run(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out, &errors))
	replies = strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	require.Len(t, replies, len(lines), "one reply a batch")
	for _, r := range replies {
		var reply struct{ Actions [][]any }
		require.NoError(t, json.Unmarshal([]byte(r), &reply), r)
	}
	return replies, errors.String()
}

func TestRoundTrips(t *testing.T) {
	const issued = `["serveOrFill",3,7,11,0,21,1,0,0]`
	answer := `["answer",3,7,0,11,"%s",18500,%v,0,null,null]`
	for _, tt := range []struct {
		name  string
		lines []string
		want  string
	}{
		{"empty batch", nil, `{"actions":[]}`},
		{"first timer", []string{batch(2000, start(3))}, `{"actions":[["schedule",3,10000,"tick"]]}`},
		{"a GET is sent to its cache", []string{batch(2000, start(3)), batch(4000, demand(3, 7))}, `{"actions":[` + issued + `]}`},
		{"a returned GET needs nothing more", []string{
			batch(2000, start(3)), batch(4000, demand(3, 7)),
			batch(22500, fmt.Sprintf(answer, "delivered", true)),
		}, `{"actions":[]}`},
		{"a GET with no way left is shed with a time to come back", []string{
			batch(2000, start(3)), batch(4000, demand(3, 7)),
			batch(22500, fmt.Sprintf(answer, "app_error", false)),
		}, `{"actions":[["notNow",3,7,125000]]}`},
		{"a client that goes is not answered", []string{
			batch(2000, start(3)), batch(4000, demand(3, 7)),
			batch(5000, `["clientGone",3,7]`),
		}, `{"actions":[["abandon",3,7,0]]}`},
		{"a purge sets the age, exact to the microsecond", []string{
			batch(2000, start(3)),
			batch(4000, `["invalidated",3,"a:x7",3,1001]`), batch(6000, demand(3, 7)),
		}, `{"actions":[["serveOrFill",3,7,11,0,21,1,3001,0]]}`},
		{"a purge of the whole group", []string{
			batch(2000, start(3)), batch(4000, `["invalidated",3,0,3,1000]`),
			batch(6000, demand(3, 7)),
		}, `{"actions":[["serveOrFill",3,7,11,0,21,1,3000,0]]}`},
		{"a host absent from a full list is gone", []string{
			batch(2000, start(3)),
			batch(4000, `["backendsChanged",3,1,2,[[21,0,1,0,1,1,null]]]`, demand(3, 7)),
		}, `{"actions":[["notNow",3,7,125000]]}`},
		{"a restart in one batch forgets", []string{
			batch(2000, start(3)), batch(4000, demand(3, 7)),
			batch(6000, `["stop",3]`, start(3), `["clientGone",3,7]`),
		}, `{"actions":[["schedule",3,10000,"tick"]]}`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			replies, report := play(t, append([]string{batch(1000)}, tt.lines...)...)
			assert.Equal(t, tt.want, replies[len(replies)-1])
			assert.Empty(t, report)
		})
	}
}

func TestBadInput(t *testing.T) {
	for _, tt := range []struct{ name, message, want string }{
		{"not JSON", `["demand",`, "batch: "},
		{"not an array", `5`, "message: "},
		{"unknown message", `["howdy",3]`, `unknown message "howdy"`},
		{"short tuple", `["demand",3,7]`, "demand: 1 values"},
		{"wrong type", `["demand",3,"x",0,0,"a:b",9000000]`, "demand: value 1"},
		{"unknown delivery service", `["demand",3,7,5,0,"a:b",9000000]`, "unknown delivery service 5"},
		{"unknown outcome", `["answer",3,7,0,11,"vanished",1,true]`, `unknown outcome "vanished"`},
		{"an id not held", `["answer",3,99,0,11,"delivered",1,true]`, "no forward 0 of GET 99 is out"},
		{"an instance that does not run", `["clientGone",8,7]`, "instance 8 does not run"},
		{"unknown phase", `["backendsChanged",3,0,2,[[11,0,0,0,9]]]`, "unknown phase 9"},
		{"short entry", `["backendsChanged",3,0,2,[[11,0]]]`, "backendsChanged entry: 2 values"},
		{"unknown form", `["backendsChanged",3,8,2,[]]`, "unknown form 8"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			replies, report := play(t, batch(2000, start(3)), batch(4000, tt.message), batch(6000, demand(3, 7)))
			assert.Contains(t, report, tt.want)
			assert.Equal(t, 1, strings.Count(report, "\n"), "one plain line")
			assert.Equal(t, `{"actions":[]}`, replies[1])
			assert.Contains(t, replies[2], "serveOrFill", "the instance goes on")
		})
	}
}

func TestAPanicIsGivenIn(t *testing.T) {
	var report bytes.Buffer
	l := newLink(&report)
	require.NoError(t, l.guarded(3, func() error { panic("lost count") }))
	assert.Equal(t, `{"actions":[["giveIn",3,"lost count"]]}`+"\n", string(l.reply.Line()))
	assert.Contains(t, report.String(), "lost count")
}

func TestInstancesActAlikeInOneProcessAndInSeveral(t *testing.T) {
	script := func(who int) (lines []string) {
		lines = append(lines, batch(2000, start(who)))
		for i := range 40 {
			messages := []string{demand(who, i), fmt.Sprintf(`["wakeup",%d,"tick"]`, who)}
			if i > 0 {
				how := []string{"delivered", "app_error", "shed"}[i%3]
				messages = append(messages, fmt.Sprintf(`["answer",%d,%d,0,11,"%s",9000,%v,2,1,null]`, who, i-1, how, how == "delivered"))
			}
			lines = append(lines, batch(4000+10000*i, messages...))
		}
		return lines
	}
	one, _ := play(t, script(1)...)
	two, _ := play(t, script(2)...)
	var mixed []string
	for i, line := range script(1) {
		mixed = append(mixed, line, script(2)[i])
	}
	both, _ := play(t, mixed...)
	for i := range one {
		assert.Equal(t, one[i], both[2*i])
		assert.Equal(t, two[i], both[2*i+1])
	}
}

// The platform's requests bear their keys by themselves: guards against a keyed GET whose answer is lost not being sent again
// within the group that recognizes its repeats and its window, or being sent again outside of these.
func TestAKeyedGETIsSentAgainWithinItsGroupAndWindow(t *testing.T) {
	const repeat, refusal, failure = "serveOrFill", "notNow", "respondError"
	for _, tt := range []struct {
		name, scope string
		others      string // hosts besides the one that loses the answer, which is 11 in zone 0 and cell 1
		lostAt      int    // microseconds
		want        string
		host        int
	}{
		{"all hosts", "all", `[12,0,0,2,1,1,null]`, 22500, repeat, 12},
		{"all hosts, past the window", "all", `[12,0,0,2,1,1,null]`, 2104000, refusal, 0},
		{"a host of its zone", "zone", `[12,0,0,2,1,1,null]`, 22500, repeat, 12},
		{"a host of its zone, just within the window", "zone", `[12,0,0,2,1,1,null]`, 1904000, repeat, 12},
		{"a host of its zone, past the window", "zone", `[12,0,0,2,1,1,null]`, 2104000, failure, 0},
		{"a host of another zone", "zone", `[12,1,0,1,1,1,null]`, 22500, failure, 0},
		{"a host of its cell", "cell", `[12,0,0,1,1,1,null]`, 22500, repeat, 12},
		{"a host of another cell", "cell", `[12,0,0,2,1,1,null]`, 22500, failure, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			keyed := strings.Replace(options, `"effect":"safe","dedupScope":"all"`, fmt.Sprintf(`"effect":"keyed","dedupScope":%q,"repeatWindow":2000000`, tt.scope), 1)
			first := `["backendsChanged",3,2,1,[[11,0,0,1,1,1,null]]]` // alone, so that it is the one that is chosen
			replies, report := play(t,
				batch(2000, fmt.Sprintf(`["powerOn",3,42,%s]`, keyed), first), batch(4000, demand(3, 7)),
				batch(5000, fmt.Sprintf(`["backendsChanged",3,0,2,[%s]]`, tt.others)),
				batch(tt.lostAt, `["answer",3,7,0,11,"dropped",18500,false,0,null,null]`))
			assert.Contains(t, replies[1], `["serveOrFill",3,7,11,`)
			assert.Contains(t, replies[3], fmt.Sprintf(`[%q,3,7`, tt.want))
			assert.Equal(t, 1, strings.Count(replies[3], ",3,7"), "one action")
			if tt.host > 0 {
				assert.Contains(t, replies[3], fmt.Sprintf(`["serveOrFill",3,7,%d,`, tt.host))
			}
			assert.Empty(t, report)
		})
	}
}
