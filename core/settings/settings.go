// Package settings decodes the settings object, which is shared by the first message of the simulator and the
// configuration of the real dispatcher.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"elderwall/core/routing"
)

// Settings are the decoded settings: those of the router, and those that only the connections need. Times are
// in seconds.
type Settings struct {
	routing.Settings
	Zones, Kinds, Services []string // names, in the order in which the router numbers them

	ConnectTimeout  float64 // seconds; a connection that is not established by then counts as refused
	IdleTimeout     float64 // seconds; hosts close connections that were idle for this long
	MaxStreams      int     // maximum number of concurrent GETs on one connection
	MaxHeldRequests int     // maximum number of GETs that a dispatcher may hold
}

// Repeatable reports whether a repeat of a request of a service is harmless wherever it is executed.
func (s Settings) Repeatable(service string) bool {
	i := slices.Index(s.Services, service)
	return i >= 0 && s.Settings.Services[i].Idempotency == routing.Idempotent
}

// wireSettings is the settings object as its sender writes it. Times are in microseconds. It is an alias
// because errors of encoding/json would otherwise contain the name of the type.
type wireSettings = struct {
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

// Decode decodes the settings object and skips unknown keys. It returns an error if raw is not valid JSON or a
// value has the wrong type.
func Decode(raw []byte) (Settings, error) {
	var o wireSettings
	if err := json.Unmarshal(raw, &o); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	x := o.Extra
	s := Settings{
		Zones: o.Zones, Kinds: o.MachineTypes,
		ConnectTimeout: seconds(o.Limits.ConnectTimeout), IdleTimeout: seconds(o.Limits.IdleClose),
		MaxStreams: o.Limits.MaxStreams, MaxHeldRequests: o.Limits.MostHeld,
	}
	s.Settings = routing.Settings{
		Index: o.Index, Dispatchers: o.Balancers, Zone: o.Zone,
		ParentKind: kind(x.ShieldKind), OriginKind: kind(x.SourceKind),
		TransferRateKB: x.FlowKbPerS, WeightsKnown: o.Weights == "nominal" || o.Weights == "rough",
		BypassCaches: x.Straight, CoalesceFills: x.SharesFills,
		NoteDetail: noteDetails[x.NoteLevel], PollEndpoints: o.MembershipMode == "on_request",
		MaxAttempts: o.Limits.MaxAttempts, CanCancel: o.Limits.MayCancel, Hedging: o.Limits.SecondCopies,
		SlowStartInitial: o.Rules.ColdFrom, SlowStartRamp: seconds(o.Rules.RampTime), OverloadMultiple: o.Rules.TipMultiple,
		OverloadWindow: seconds(o.Rules.Fall), ParentSlowStartInitial: x.ParentColdFrom, ParentSlowStartRamp: seconds(x.ParentCold),
		ParentOverloadMultiple: x.ParentBreaksAt, PurgeGrace: seconds(x.GoneEverywhere),
	}
	if o.Limits.RetryAfter {
		s.MaxRetryAfter = seconds(o.Limits.MaxRetryAfter)
	}
	for _, dispatchers := range x.SeatsByZone {
		s.DispatchersByZone = append(s.DispatchersByZone, int(dispatchers))
	}
	for i, c := range o.Classes {
		s.Services = append(s.Services, c.Name)
		s.Settings.Services = append(s.Settings.Services, routing.DeliveryService{
			Objective: seconds(c.Aim), Stretch: c.AimStretch, ViewerTimeout: seconds(c.Deadline), PriorityWeight: c.Worth,
			Idempotency: effects[c.Effect], DedupScope: scopes[c.DedupScope], DedupWindow: seconds(c.RepeatWindow),
			TTL: seconds(valueAt(x.GoodFor, i)),
		})
	}
	return s, nil
}

// These maps translate names in the settings object. An unknown name gives the zero value.
var (
	effects     = map[string]routing.Idempotency{"safe": routing.Idempotent, "keyed": routing.IdempotencyKeyed, "unsafe": routing.NonIdempotent}
	scopes      = map[string]routing.DedupScope{"all": routing.AllHosts, "zone": routing.SameZone, "cell": routing.SameCell}
	noteDetails = map[string]routing.NoteDetail{"all": routing.FillNotes, "hit": routing.HitNotes, "silent": routing.NoNotes}
)

// seconds converts microseconds to seconds.
func seconds(us int64) float64 { return float64(us) / 1e6 }

// kind returns the given index into the list of machine kinds. If it is nil, kind returns -1, which matches no
// machine.
func kind(index *int) int {
	if index == nil {
		return -1
	}
	return *index
}

// valueAt returns the value of delivery service i, or the zero value if the list is too short.
func valueAt[T any](values []T, i int) (v T) {
	if i < len(values) {
		v = values[i]
	}
	return v
}
