package cluster

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/quota"
	"elderwall/core/cluster/replication"
	"elderwall/internal/cluster/raftvoter"
	"elderwall/internal/snakejson"
)

// What can be asked of a member over its fleet address.
const (
	AskMembers  = "members"  // what it thinks of all
	AskWatch    = "watch"    // the same, once something has changed since a number
	AskLeave    = "leave"    // have it leave the fleet, and serve on alone
	AskDuties   = "duties"   // who holds what, and how the voters stand
	AskTurn     = "turn"     // a turn of one who stands for duties and is no dispatcher
	AskCommand  = "command"  // commands for the log
	AskSeat     = "seat"     // a change of who votes
	AskFound    = "found"    // have it begin a log
	AskRecover  = "recover"  // have it begin a log with what it has of the one whose majority is lost
	AskCounts   = "counts"   // its counters
	AskBudgets  = "budgets"  // how the wholes are divided
	AskSpend    = "spend"    // units of a budget
	AskChannels = "channels" // what is declared, and the line of the channel that Duty names
	AskWrite    = "write"    // records into the memory
	AskRead     = "read"     // what the memory has for some keys, or how many records of a kind and a sum over them
	AskFollow   = "follow"   // a channel's notes, for as long as the stream stands
	AskPublish  = "publish"  // entries of a writer into a channel
	AskDeclare  = "declare"  // a channel's declaration into the log

	askEra   = "era"   // the latest era of a disk that it knows
	askWhere = "where" // where the holder of a duty is

	askDeclared = "declared" // what is declared, as one voter has it
)

const (
	nonceLength = 16
	longestAsk  = 256 << 10
	watchMost   = 4 * time.Second // a watch is answered by then, changed or not: within a stream's time
	askBegins   = 0               // a length that no message has: an ask follows
)

// ask is a question on the wire.
type ask struct {
	What  string `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint,omitempty"`

	Number   uint64                   `cbor:"3,keyasint,omitempty"`
	Hops     uint8                    `cbor:"4,keyasint,omitempty"`
	Turn     *lease.RenewalRequest    `cbor:"5,keyasint,omitempty"`
	Commands []lease.Command          `cbor:"6,keyasint,omitempty"`
	Seat     lease.VoterChange        `cbor:"7,keyasint,omitempty"`
	Ledger   *quota.Command           `cbor:"8,keyasint,omitempty"`
	Whole    bool                     `cbor:"9,keyasint,omitempty"` // the ledger is to be told after it
	Duty     string                   `cbor:"10,keyasint,omitempty"`
	Records  []replication.Record     `cbor:"11,keyasint,omitempty"` // to be written; or whose keys are to be read
	Channels *channel.Command         `cbor:"13,keyasint,omitempty"`
	Sure     replication.WriteConcern `cbor:"12,keyasint,omitempty"`
	Follow   *channel.OpenRequest     `cbor:"14,keyasint,omitempty"`
	Entries  []channel.Entry          `cbor:"15,keyasint,omitempty"`
	Declare  *channel.Declaration     `cbor:"16,keyasint,omitempty"`
}

// Told is what a member answers.
type Told struct {
	Error    string                   `cbor:"1,keyasint,omitempty" json:"Error,omitempty"`
	Number   uint64                   `cbor:"2,keyasint" json:"-"`   // of the last change
	Now      float64                  `cbor:"3,keyasint" json:"Now"` // s since its start
	Self     membership.Member        `cbor:"4,keyasint" json:"Self"`
	Standing string                   `cbor:"5,keyasint" json:"Standing"`
	Level    string                   `cbor:"6,keyasint" json:"Level"`
	View     membership.View          `cbor:"7,keyasint" json:"View"`
	Members  []membership.KnownMember `cbor:"8,keyasint" json:"Members"`
	Counts   map[string]int64         `cbor:"9,keyasint" snake:"names" json:"Counts"`

	Duties   []ToldDuty              `cbor:"10,keyasint,omitempty" json:"Duties,omitempty"`
	Rest     map[string]float64      `cbor:"11,keyasint,omitempty" json:"Rest,omitempty"` // s of each lease, by the leader's clock
	Council  *raftvoter.Status       `cbor:"12,keyasint,omitempty" json:"Council,omitempty"`
	Seats    []lease.Voter           `cbor:"13,keyasint,omitempty" json:"Seats,omitempty"`
	Leases   []lease.Lease           `cbor:"14,keyasint,omitempty" json:"Leases,omitempty"`
	Changed  bool                    `cbor:"15,keyasint,omitempty" json:"Changed,omitempty"`
	Ledger   *quota.SavedLedger      `cbor:"17,keyasint,omitempty" json:"Ledger,omitempty"`
	Budgets  []ToldBudget            `cbor:"18,keyasint,omitempty" json:"Budgets,omitempty"`
	Memory   *ToldMemory             `cbor:"19,keyasint,omitempty" json:"Memory,omitempty"`
	Records  []replication.Record    `cbor:"20,keyasint,omitempty" json:"Records,omitempty"`
	Ended    []replication.Outcome   `cbor:"21,keyasint,omitempty" json:"Ended,omitempty"` // of the writes, in their order
	Channels *channel.LedgerSnapshot `cbor:"22,keyasint,omitempty" json:"Channels,omitempty"`
	Refused  string                  `cbor:"23,keyasint,omitempty" json:"Refused,omitempty"` // why a command of channels did nothing
	Leads    string                  `cbor:"16,keyasint,omitempty" json:"Leads,omitempty"`   // the address of who answered as the leader
	Written  []Written               `cbor:"26,keyasint,omitempty" json:"Written,omitempty"` // what became of the entries, in their order
	Reason   string                  `cbor:"24,keyasint,omitempty" json:"-"`                 // of the error, as a word
	Later    float64                 `cbor:"25,keyasint,omitempty" json:"-"`                 // s after which to ask again
}

// MarshalJSON writes it in the style of the command line, whoever prints it.
func (t Told) MarshalJSON() ([]byte, error) {
	type plain Told
	return snakejson.JSON(plain(t))
}

// ToldDuty is a duty with how many wait for it beyond those that are named.
type ToldDuty struct {
	lease.Duty
	More int `json:"More,omitempty"`
}

// serveStream takes one stream: a message, or a question with a nonce of ours, so that no question counts twice. It lets its place go early where
// the answer takes long, and tells whether the stream is kept.
func (f *Fleet) serveStream(c net.Conn, place func()) (kept bool) {
	in := bufio.NewReader(c)
	if begin, err := in.Peek(4); err != nil || begin[0]|begin[1]|begin[2]|begin[3] != askBegins {
		if sealed, err := readFrame(in, longestStream); err == nil {
			f.take(sealed)
		}
		return false
	}
	_, _ = in.Discard(4)
	nonce := make([]byte, nonceLength)
	_, _ = rand.Read(nonce)
	if err := writeFrame(c, nonce); err != nil {
		return false
	}
	q, ok := f.readQuestion(in, nonce)
	if !ok {
		return false
	}
	return f.serveQuestion(c, q, nonce, place)
}

// readQuestion reads a question that is bound to the nonce; false if none came that can be used.
func (f *Fleet) readQuestion(in *bufio.Reader, nonce []byte) (q ask, ok bool) {
	sealed, err := readFrame(in, longestAsk)
	if err != nil {
		return q, false
	}
	opened, err := f.Keys.open(sealedAsk, sealed, nonce)
	if err != nil {
		f.Counts.Unsealed.Add(1)
		return q, false
	}
	if err := told.Unmarshal(opened.text, &q); err != nil { // an entry may come after many writers
		f.Counts.Unusable.Add(1)
		return q, false
	}
	f.Counts.Asked.Add(1)
	return q, true
}

// serveQuestion answers a question on its stream, and tells whether the stream is kept.
func (f *Fleet) serveQuestion(c net.Conn, q ask, nonce []byte, place func()) (kept bool) {
	var t Told
	var reader *follower
	switch {
	case f.following == nil || q.What != AskFollow && q.What != AskPublish:
		t = f.answer(q)
	case q.What == AskPublish:
		place() // it has places of its own
		t = f.following.answerPublish(f.ctx, q)
	default:
		reader, t = f.following.begin(q, c, nonce)
	}
	answer, err := encoding.Marshal(t)
	if err == nil {
		err = writeFrame(c, f.Keys.seal(sealedTold, f.boot, f.number.Add(1), answer, nonce))
	}
	if reader == nil {
		return false
	}
	if err != nil {
		f.following.mu.Lock()
		f.following.machine.Close(reader.id)
		f.following.mu.Unlock()
		return false
	}
	_ = c.SetDeadline(time.Time{})
	f.following.keep(reader)
	return true
}

// answer answers a question.
func (f *Fleet) answer(q ask) Told {
	if answer := f.answers[q.What]; answer != nil {
		return answer(q)
	}
	switch q.What {
	case AskMembers:
	case AskWatch:
		f.await(q.After)
	case AskLeave:
		f.leave()
	case AskFollow, AskPublish, AskDeclare:
		if f.following == nil {
			return Told{Error: "this dispatcher keeps no channels"}
		}
		return f.following.answerDeclare(f.ctx, q)
	default:
		return f.answerDuties(f.ctx, q)
	}
	var memory *ToldMemory
	if f.memory != nil {
		memory = f.memory.status()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := Told{
		Memory: memory, Number: f.changes, Now: f.now(), Self: f.machine.Self(), Standing: f.machine.Standing().String(), View: f.machine.View(),
		Members: f.machine.Members(), Counts: f.Counts.each(),
	}
	t.Level = t.View.Level.String()
	if f.following != nil {
		f.following.count(t.Counts)
	}
	return t
}

// answerers says who answers what is not about members or duties.
func (f *Fleet) answerers() map[string]func(q ask) Told {
	return map[string]func(q ask) Told{
		AskCounts: func(ask) Told {
			if f.Counters == nil {
				return Told{Error: "there are none"}
			}
			return Told{Counts: f.Counters()}
		},
		AskSpend: func(q ask) Told {
			if err := f.spendUnits(q.Duty, int64(min(q.Number, math.MaxInt64))); err != nil {
				return Told{Error: err.Error()}
			}
			return Told{}
		},
		AskBudgets: func(q ask) Told { return f.tellBudgets(f.ctx, q) },
		AskWrite:   f.answerMemory,
		AskRead:    f.answerMemory,
	}
}

// await waits until something changes, for so long at most.
func (f *Fleet) await(after uint64) {
	f.mu.Lock()
	changed, wait := f.changed, f.changes == after && f.watching < watchers
	if !wait {
		f.mu.Unlock()
		return
	}
	f.watching++
	f.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(watchMost):
	case <-f.ctx.Done():
	}
	f.mu.Lock()
	f.watching--
	f.mu.Unlock()
}

// Ask asks the member at an address. After is the number of the last change that is known, for a watch.
func Ask(ctx context.Context, at string, k *Keys, what string, after uint64) (t Told, err error) {
	return askAt(ctx, at, k, ask{What: what, After: after})
}

// AskDo has commands put into the log, by any member.
func AskDo(ctx context.Context, at string, k *Keys, commands ...lease.Command) (t Told, err error) {
	return askAt(ctx, at, k, ask{What: AskCommand, Commands: commands})
}

// AskChange has who votes changed.
func AskChange(ctx context.Context, at string, k *Keys, c lease.VoterChange) (t Told, err error) {
	return askAt(ctx, at, k, ask{What: AskSeat, Seat: c})
}

// AskUnits takes units of a budget at a dispatcher.
func AskUnits(ctx context.Context, at string, k *Keys, budget string, units uint64) error {
	_, err := askAt(ctx, at, k, ask{What: AskSpend, Duty: budget, Number: units})
	return err
}

// AskMemory has records written as sure as is wanted, or read.
func AskMemory(ctx context.Context, at string, k *Keys, what string, records []replication.Record, sure replication.WriteConcern) (t Told, err error) {
	return askAt(ctx, at, k, ask{What: what, Records: records, Sure: sure})
}

// AskTake asks a turn for one who stands and is no dispatcher.
func AskTake(ctx context.Context, at string, k *Keys, turn lease.RenewalRequest) (t Told, err error) {
	return askAt(ctx, at, k, ask{What: AskTurn, Turn: &turn})
}

func askAt(ctx context.Context, at string, k *Keys, q ask) (t Told, err error) {
	c, t, err := converse(ctx, at, k, q)
	if err != nil {
		return t, err
	}
	_ = c.conn.Close()
	if t.Error != "" {
		return t, errOf(&t)
	}
	return t, nil
}

func errOf(t *Told) error {
	if t.Reason != "" {
		return &Refusal{Reason: t.Reason, Text: t.Error, Later: t.Later}
	}
	return errors.New(t.Error)
}

// conversation is a stream that stands after its question was answered.
type conversation struct {
	conn  net.Conn
	nonce []byte // the dispatcher's, to which all it sends is bound
}

// converse puts a question and takes the answer, after which the stream stands: the caller closes it.
func converse(ctx context.Context, at string, k *Keys, q ask) (c conversation, t Told, err error) {
	ctx, cancel := context.WithTimeout(ctx, streamTime)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", at)
	if err != nil {
		return c, t, fmt.Errorf("ask: %w", err)
	}
	defer func() {
		if err != nil {
			_ = conn.Close()
		}
	}()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })()
	_ = conn.SetDeadline(time.Now().Add(streamTime))
	if _, err = conn.Write(make([]byte, 4)); err != nil {
		return c, t, fmt.Errorf("ask: %w", err)
	}
	nonce, err := readFrame(conn, nonceLength)
	if err != nil {
		return c, t, fmt.Errorf("ask: %w", err)
	}
	text, err := encoding.Marshal(q)
	if err != nil {
		return c, t, fmt.Errorf("ask: %w", err)
	}
	if err = writeFrame(conn, k.seal(sealedAsk, 1, 1, text, nonce)); err != nil {
		return c, t, err
	}
	sealed, err := readFrame(conn, longestStream)
	if errors.Is(err, io.EOF) {
		return c, t, errors.New("ask: no answer; is it the fleet's key?")
	}
	if err != nil {
		return c, t, err
	}
	opened, err := k.open(sealedTold, sealed, nonce)
	if err == nil {
		err = told.Unmarshal(opened.text, &t)
	}
	if err != nil {
		return c, t, fmt.Errorf("ask: %w", err)
	}
	return conversation{conn: conn, nonce: nonce}, t, nil
}

var told = must(cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, UTF8: cbor.UTF8DecodeInvalid}.DecMode())
