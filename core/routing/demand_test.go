package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The number of caches that an object is spread over follows its share of the byte rate in the window.
func TestCopiesFollowDemand(t *testing.T) {
	for _, tt := range []struct {
		name string
		hot  int     // how many of each ten requests are for the same object
		idle float64 // seconds without requests before the copies are counted
		want int     // copies
	}{
		{"a fifth of the requests: one cache of three", 2, 0, 1},
		{"half of them: two caches", 5, 0, 2},
		{"nine tenths: three caches", 9, 0, 3},
		{"one cache again once the window has passed", 9, 12, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, _ := newCluster(nil)
			for i := range uint32(100) {
				object := fmt.Sprint("o", i)
				if int(i%10) < tt.hot {
					object = "hot"
				}
				submit(r, float64(i)/20, i, object)
				respond(r, float64(i)/20+0.01, i, 0, Succeeded, CacheHit)
			}
			submit(r, 5+tt.idle, 1000, "hot")
			assert.Equal(t, tt.want, r.demand.copies(r.now, r.requests.byID[1000], 3))
		})
	}
}
