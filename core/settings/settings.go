// Package settings decodes the settings object that the simulator's first message and the real dispatcher's
// configuration share.
package settings

import (
	"encoding/json"
	"fmt"

	"elderwall/core/routing"
)

// Settings is what the object tells: what the module goes by, and what sockets need besides. Times are in seconds.
type Settings struct {
	routing.Settings
	Zones, Kinds, Services []string // the names in the module's order

	ConnectTimeout float64 // a connection not up by then counts as refused
	IdleClose      float64 // hosts close connections that were idle for so long
	MaxStreams     int     // GETs out on one connection
	MostHeld       int     // GETs that a dispatcher may hold
}

// object is the settings object as its sender writes it; times are in microseconds. It is an alias, as errors of
// encoding/json would otherwise bear the type's name.
type object = struct {
	Balancers, Index, Zone int
	Zones, MachineTypes    []string
	Classes                []struct {
		Name                        string
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
		MaxAttempts, MaxStreams, MostHeld        int
		ConnectTimeout, IdleClose, MaxRetryAfter int64
		MayCancel, RetryAfter, SecondCopies      bool
	}
	MembershipMode, Weights string
	Rules                   struct {
		ColdFrom, TipMultiple float64
		Fall, RampTime        int64
	}
}

// Decode reads the settings object; keys that it does not know are skipped.
func Decode(raw []byte) (Settings, error) {
	var o object
	if err := json.Unmarshal(raw, &o); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	x := o.Extra
	s := Settings{
		Zones: o.Zones, Kinds: o.MachineTypes,
		ConnectTimeout: seconds(o.Limits.ConnectTimeout), IdleClose: seconds(o.Limits.IdleClose),
		MaxStreams: o.Limits.MaxStreams, MostHeld: o.Limits.MostHeld,
	}
	s.Settings = routing.Settings{
		Index: o.Index, Dispatchers: o.Balancers, Zone: o.Zone,
		ParentKind: kind(x.ShieldKind), OriginKind: kind(x.SourceKind),
		TransferRateKB: x.FlowKbPerS, WeightsKnown: o.Weights == "nominal" || o.Weights == "rough",
		BypassCaches: x.Straight, CoalesceFills: x.SharesFills,
		NoteDetail: details[x.NoteLevel], PollEndpoints: o.MembershipMode == "on_request",
		MaxAttempts: o.Limits.MaxAttempts, CanCancel: o.Limits.MayCancel, Hedging: o.Limits.SecondCopies,
		SlowStartInitial: o.Rules.ColdFrom, SlowStartRamp: seconds(o.Rules.RampTime), OverloadMultiple: o.Rules.TipMultiple,
		OverloadWindow: seconds(o.Rules.Fall), ParentSlowStartInitial: x.ParentColdFrom, ParentSlowStartRamp: seconds(x.ParentCold),
		ParentOverloadMultiple: x.ParentBreaksAt, PurgeGrace: seconds(x.GoneEverywhere),
	}
	if o.Limits.RetryAfter {
		s.MaxRetryAfter = seconds(o.Limits.MaxRetryAfter)
	}
	for _, seats := range x.SeatsByZone {
		s.DispatchersByZone = append(s.DispatchersByZone, int(seats))
	}
	for i, c := range o.Classes {
		s.Services = append(s.Services, c.Name)
		s.Settings.Services = append(s.Settings.Services, routing.DeliveryService{
			Objective: seconds(c.Aim), Stretch: c.AimStretch, ViewerTimeout: seconds(c.Deadline), PriorityWeight: c.Worth,
			Idempotency: effects[c.Effect], DedupScope: scopes[c.DedupScope], DedupWindow: seconds(c.RepeatWindow),
			TTL: seconds(at(x.GoodFor, i)),
		})
	}
	return s, nil
}

var (
	effects = map[string]routing.Idempotency{"safe": routing.Idempotent, "keyed": routing.IdempotencyKeyed, "unsafe": routing.NonIdempotent}
	scopes  = map[string]routing.DedupScope{"all": routing.AllHosts, "zone": routing.SameZone, "cell": routing.SameCell}
	details = map[string]routing.NoteDetail{"all": routing.FillNotes, "hit": routing.HitNotes, "silent": routing.NoNotes}
)

func seconds(us int64) float64 { return float64(us) / 1e6 }

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
