package due

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestWheel(t *testing.T) {
	for _, tt := range []struct {
		name   string
		at     []float64
		remove []int
		now    float64
		want   []int
	}{
		{"in order of time", []float64{3, 1, 2}, nil, 5, []int{1, 2, 0}},
		{"in order of adding at one time", []float64{1, 1, 1}, nil, 1, []int{0, 1, 2}},
		{"only what is due", []float64{3, 1, 2}, nil, 2, []int{1, 2}},
		{"without what was removed, also twice", []float64{3, 1, 2}, []int{1, 1}, 5, []int{2, 0}}} {
		t.Run(tt.name, func(t *testing.T) {
			var q Wheel[int]
			var entries []*Timer[int]
			for i, at := range tt.at {
				entries = append(entries, q.Add(at, i))
			}
			for _, i := range tt.remove {
				q.Remove(entries[i])
			}
			q.Remove(nil)
			var got []int
			for item, ok := q.Pop(tt.now); ok; item, ok = q.Pop(tt.now) {
				got = append(got, item)
			}
			assert.Equal(t, tt.want, got)
		})
	}
}
