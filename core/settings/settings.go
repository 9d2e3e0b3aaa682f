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
	Balancers    int      `json:"Balancers"`
	Index        int      `json:"Index"`
	Zone         int      `json:"Zone"`
	Zones        []string `json:"Zones"`
	MachineTypes []string `json:"MachineTypes"`
	Classes      []struct {
		Name         string  `json:"Name"`
		Aim          int64   `json:"Aim"`
		Deadline     int64   `json:"Deadline"`
		RepeatWindow int64   `json:"RepeatWindow"`
		AimStretch   float64 `json:"AimStretch"`
		Worth        float64 `json:"Worth"`
		DedupScope   string  `json:"DedupScope"`
		Effect       string  `json:"Effect"`
	} `json:"Classes"`
	Extra struct {
		SeatsByZone    []float64 `json:"SeatsByZone"`
		FlowKbPerS     float64   `json:"FlowKbPerS"`
		ParentBreaksAt float64   `json:"ParentBreaksAt"`
		ParentColdFrom float64   `json:"ParentColdFrom"`
		GoneEverywhere int64     `json:"GoneEverywhere"`
		ParentCold     int64     `json:"ParentCold"`
		GoodFor        []int64   `json:"GoodFor"`
		NoteLevel      string    `json:"NoteLevel"`
		SharesFills    bool      `json:"SharesFills"`
		Straight       bool      `json:"Straight"`
		ShieldKind     *int      `json:"ShieldKind"`
		SourceKind     *int      `json:"SourceKind"`
	} `json:"Extra"`
	Limits struct {
		MaxAttempts    int   `json:"MaxAttempts"`
		MaxStreams     int   `json:"MaxStreams"`
		MostHeld       int   `json:"MostHeld"`
		ConnectTimeout int64 `json:"ConnectTimeout"`
		IdleClose      int64 `json:"IdleClose"`
		MaxRetryAfter  int64 `json:"MaxRetryAfter"`
		MayCancel      bool  `json:"MayCancel"`
		RetryAfter     bool  `json:"RetryAfter"`
		SecondCopies   bool  `json:"SecondCopies"`
	} `json:"Limits"`
	MembershipMode string `json:"MembershipMode"`
	Weights        string `json:"Weights"`
	Rules          struct {
		ColdFrom    float64 `json:"ColdFrom"`
		TipMultiple float64 `json:"TipMultiple"`
		Fall        int64   `json:"Fall"`
		RampTime    int64   `json:"RampTime"`
	} `json:"Rules"`
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
