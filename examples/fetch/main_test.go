package main

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/standin/need"
	"elderwall/internal/thrift"
)

func TestMain(m *testing.M) {
	if os.Getenv("FETCH") == "" {
		os.Exit(m.Run())
	}
	main()
}

func TestTheStatusTellsWhetherTheGETWasReturned(t *testing.T) {
	for _, tt := range []struct {
		name   string
		reply  thrift.Reply
		status int
	}{
		{"returned", thrift.Served(2, []byte("bytes"), false), 0},
		{"shed", thrift.Refused(2, 100), 1},
		{"shed with no time told", thrift.Refused(2, 0), 1},
		{"errored", thrift.Failed(2, "denied"), 1},
	} {
		l := need.Of(net.Listen("tcp", "127.0.0.1:0"))(t)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			for _, r := range []thrift.Reply{thrift.Ready(1, true), tt.reply} {
				var size [4]byte
				_, _ = io.ReadFull(c, size[:])
				_, _ = io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(size[:])))
				_, _ = (&net.Buffers{r.Head, r.Body, r.Tail}).WriteTo(c)
			}
		}()
		run := exec.CommandContext(t.Context(), os.Args[0], "-dispatcher", l.Addr().String())
		run.Env = append(os.Environ(), "FETCH=1")
		out, _ := run.CombinedOutput()
		assert.Equal(t, tt.status, run.ProcessState.ExitCode(), "%s: %s", tt.name, out)
		_ = l.Close()
	}
}
