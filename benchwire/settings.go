package benchwire

import (
	"encoding/json"
	"fmt"

	"elderwall/control"
)

// DecodeSettings reads the settings of an instance; keys that it does not know are skipped.
func DecodeSettings(raw []byte) (control.Settings, error) {
	var o struct {
		Balancers, Index, Zone int
		Classes                []struct {
			Aim, Deadline, RepeatWindow int64
			AimStretch, Worth           float64
			DedupScope, Effect          string
		}
		Extra struct {
			SeatsByZone                                []float64
			FlowKbPerS, ParentBreaksAt, ParentColdFrom float64
			GoneEverywhere, ParentCold                 int64
			GoodFor                                    []int64
			NoteLevel                                  string
			SharesFills, Straight                      bool
			ShieldKind                                 *int
			SourceKind                                 *int
		}
		Limits struct {
			MaxAttempts                         int
			MaxRetryAfter                       int64
			MayCancel, RetryAfter, SecondCopies bool
		}
		MembershipMode, Weights string
		Rules                   struct {
			ColdFrom, TipMultiple float64
			Fall, RampTime        int64
		}
	}
	if err := json.Unmarshal(raw, &o); err != nil {
		return control.Settings{}, fmt.Errorf("settings: %w", err)
	}
	x := o.Extra
	s := control.Settings{
		Index: o.Index, Dispatchers: o.Balancers, Zone: o.Zone,
		ParentKind: kind(x.ShieldKind), OriginKind: kind(x.SourceKind),
		FlowKB: x.FlowKbPerS, WeightsTold: o.Weights == "nominal" || o.Weights == "rough",
		Straight: x.Straight, Joins: x.SharesFills,
		Detail: details[x.NoteLevel], OnRequest: o.MembershipMode == "on_request",
		MaxForwards: o.Limits.MaxAttempts, MayCancel: o.Limits.MayCancel, SecondCopies: o.Limits.SecondCopies,
		ColdFrom: o.Rules.ColdFrom, RampTime: seconds(o.Rules.RampTime), TipMultiple: o.Rules.TipMultiple,
		Fall: seconds(o.Rules.Fall), ParentColdFrom: x.ParentColdFrom, ParentRamp: seconds(x.ParentCold),
		ParentTip: x.ParentBreaksAt, OldCopies: seconds(x.GoneEverywhere),
	}
	if o.Limits.RetryAfter {
		s.MaxRetryAfter = seconds(o.Limits.MaxRetryAfter)
	}
	for _, seats := range x.SeatsByZone {
		s.Seats = append(s.Seats, int(seats))
	}
	for i, c := range o.Classes {
		s.Services = append(s.Services, control.DeliveryService{
			Objective: seconds(c.Aim), Stretch: c.AimStretch, ViewerTimeout: seconds(c.Deadline), Revenue: c.Worth,
			Effect: effects[c.Effect], Scope: scopes[c.DedupScope], RepeatWindow: seconds(c.RepeatWindow),
			FreshFor: seconds(at(x.GoodFor, i)),
		})
	}
	return s, nil
}

var (
	effects = map[string]control.Effect{"safe": control.Idempotent, "keyed": control.Tokened, "unsafe": control.NonIdempotent}
	scopes  = map[string]control.Scope{"all": control.AllHosts, "zone": control.SameZone, "cell": control.SameCell}
	details = map[string]control.Detail{"all": control.Full, "hit": control.HitOnly, "silent": control.Silent}
)

// kind is a place in the list of machine kinds, or one that no machine has where none is told.
func kind(place *int) int {
	if place == nil {
		return -1
	}
	return *place
}

// at is a value by delivery service, or its zero where the list is short.
func at[T any](values []T, i int) (v T) {
	if i < len(values) {
		v = values[i]
	}
	return v
}
