package hostproto_test

import (
	"strings"
	"testing"

	"elderwall/internal/goldentest"
	"elderwall/internal/hostproto"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

// wholeInput is more than any of the inputs here has: they are read in one piece.
const wholeInput = 1 << 20

// read is an answer with what the reader tells besides.
type read struct {
	Answer hostproto.Answer
	Proofs hostproto.Proofs
}

func readAll(text string, piece int, r *hostproto.Reader) ([]read, error) {
	return need.Pieces([]byte(text), piece, r.Space, r.Fed, func() (read, bool, error) {
		a, ok, err := r.Next()
		a.ID = []byte(string(a.ID)) // Space ends it
		return read{a, r.Proofs}, ok, err
	})
}

// answerTexts has each word with each detail, proofs, forms of a fill's wait, and what is no answer.
func answerTexts() (texts []string) {
	for _, word := range []string{"HIT", "VALID", "NONE", "SHED", "FAULT", "LATE", "PONG", "hit", ""} {
		for _, fields := range []string{"-", "detail=mem", "rev=7,detail=old", "rev=", "other=1", "", "detail", ","} {
			texts = append(texts, standin.Answer("a", word, fields, "x"))
		}
	}
	for _, detail := range []string{
		"mem", "parent", "origin", "shared", "old", "denied", "unreached", "absent", "crowded", "behind", "new", "",
	} {
		texts = append(texts, standin.Answer("a", "HIT", "detail="+detail, ""))
	}
	for _, wait := range []string{"20", "0", "-4", "NaN", "Inf", "1e300", "1e6", "1000000.1", "0x10", "12.5", "", "x"} {
		texts = append(texts, standin.Answer("a", "HIT", "detail=parent,fill="+wait, "y"))
	}
	for _, proofs := range []string{
		"digest=sha-256", "version=12", "version=-1", "version=x", "rev=a,digest=b,version=3", "rev=a,rev=b", "rev==",
	} {
		texts = append(texts, standin.Answer("a", "HIT", proofs, "z"))
	}
	texts = append(texts, "a PONG\r\n", "a PONG - 0\r\n\r\n", "a PONG -\r\n", "a HIT\r\n")
	return append(texts,
		"\r\n", "a\r\n", " HIT - 0\r\n", "a HIT -\r\n", "a HIT - 0 0\r\n", "a HIT - -1\r\n", "a HIT - +1\r\nx\r\n",
		"a HIT - x\r\n", "a HIT - 262145\r\n", "a HIT - 99999999999999999999\r\n", "a HIT - 0\n\r\n", "a  HIT - 0\r\n\r\n",
		"a HIT - 1\r\nxyz", "a HIT - 00\r\n\r\n", "a HIT - 3\r\n\r\n\r\r\n", strings.Repeat("a", 4095)+"\n",
		strings.Repeat("a", 4096), strings.Repeat("a", 4094)+"\r\n")
}

func TestGoldenAnswers(t *testing.T) {
	for _, piece := range []int{1, 11, wholeInput} {
		var tr goldentest.Transcript
		for _, text := range answerTexts() {
			r := hostproto.Reader{Room: roomy, Keep: true}
			got, err := readAll(text+text, piece, &r)
			tr.Values(text[:min(len(text), 64)], got)
			tr.Rejected(err)
		}
		tr.Check(t, "answers.golden") // the same for all pieces
	}
}

func TestGoldenAnswersWithoutRoomOrProofs(t *testing.T) {
	text := standin.Answer("a", "HIT", "rev=1,digest=2,version=3", "long body") + standin.Hit("b", "y")
	var tr goldentest.Transcript
	r := hostproto.Reader{Room: func(n int) bool { return n < 5 }}
	got, err := readAll(text, wholeInput, &r)
	tr.Values("no room for the first", got)
	tr.Rejected(err)
	tr.Check(t, "answers-drained.golden")
}

func TestGoldenRequests(t *testing.T) {
	bare := hostproto.Request{ID: "9b1f", Service: "segment", Object: "7f3a", Part: "3", Budget: 1500}
	with := func(change func(*hostproto.Request)) hostproto.Request {
		changed := bare
		change(&changed)
		return changed
	}
	var tr goldentest.Transcript
	for _, c := range []struct {
		name    string
		request hostproto.Request
	}{
		{"bare", bare},
		{"zero", hostproto.Request{}},
		{"negative budget", with(func(q *hostproto.Request) { q.Budget = -1 })},
		{"source", with(func(q *hostproto.Request) { q.Source = "s-0" })},
		{"rank", with(func(q *hostproto.Request) { q.Rank = 2 })},
		{"negative rank and age", with(func(q *hostproto.Request) { q.Rank, q.MaxAge = -2, -1 })},
		{"greatest age", with(func(q *hostproto.Request) { q.MaxAge = 900 })},
		{"join", with(func(q *hostproto.Request) { q.Join = true })},
		{"held only", with(func(q *hostproto.Request) { q.HeldOnly = true })},
		{"renew", with(func(q *hostproto.Request) { q.Renew = true })},
		{"join and renew", with(func(q *hostproto.Request) { q.Join, q.Renew = true, true })},
		{"held only and renew", with(func(q *hostproto.Request) { q.HeldOnly, q.Renew = true, true })},
		{"variant", with(func(q *hostproto.Request) { q.Variant = "dev=tv" })},
		{"tag", with(func(q *hostproto.Request) { q.Tag = "4be0" })},
		{"idempotency key", with(func(q *hostproto.Request) { q.IdempotencyKey = "k1" })},
		{"body", with(func(q *hostproto.Request) { q.Body = []byte("xy") })},
		{"all", hostproto.Request{
			ID: "9b1f", Service: "segment", Object: "7f3a", Part: "3", Budget: 1500, Source: "s-0", Rank: 2, MaxAge: 900,
			Join: true, HeldOnly: true, Renew: true, Tag: "4be0", Body: []byte("xy"), IdempotencyKey: "k1", Variant: "dev=tv",
		}},
	} {
		tr.Bytes(c.name, c.request.AppendHead(nil))
	}
	tr.Bytes("cancellation", hostproto.AppendStop(nil, "9b1f"))
	tr.Bytes("health check", hostproto.AppendHello([]byte("before"), "t"))
	for _, field := range []string{"queue", "path", "blk", "budget", "up", "store", "cap", "do", "inm", "uniq", "dev", ""} {
		tr.Values("known field "+field, hostproto.Known(field))
	}
	tr.Values("hashes", hostproto.Hash(nil), hostproto.Hash([]byte("a")), hostproto.Hash([]byte("4be0c1927d55a6f3")))
	tr.Check(t, "requests.golden")
}

// The longest line is told from one that is too long, also where it comes in one piece.
func TestGoldenLongLines(t *testing.T) {
	var tr goldentest.Transcript
	for length := 4092; length <= 4098; length++ {
		fields := strings.Repeat("x", length-len("a HIT x= 0\r\n"))
		for _, piece := range []int{1, wholeInput} {
			r := hostproto.Reader{Room: roomy}
			got, err := readAll("a HIT x="+fields+" 0\r\n\r\n", piece, &r)
			tr.Values("answers of a line of so many bytes", length, len(got))
			tr.Rejected(err)
		}
	}
	tr.Check(t, "long-lines.golden")
}
