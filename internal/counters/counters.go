// Package counters counts what a dispatcher takes in, sends and answers.
package counters

import (
	"reflect"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Counters are the sums since the start.
type Counters struct {
	GETs, Returned, Unchanged, Shed, Errored, GivenUp      atomic.Int64
	Malformed                                              atomic.Int64
	Forwards, Stopped                                      atomic.Int64
	Hits, Valid, None, Full, Faults, Late, Unreached, Lost atomic.Int64
	Purges, Lists                                          atomic.Int64
	ClientConnections, HostConnections                     atomic.Int64
	ClientBytesIn, ClientBytesOut, HostBytesIn             atomic.Int64
}

// Log writes all of them as one line.
func (c *Counters) Log(log zerolog.Logger) {
	line, values := log.Info(), reflect.ValueOf(c).Elem()
	for i := range values.NumField() {
		line.Int64(values.Type().Field(i).Name, values.Field(i).Addr().Interface().(*atomic.Int64).Load())
	}
	line.Msg("counters")
}
