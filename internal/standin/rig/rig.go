// Package rig has what tests of nodes share: settings of a small fleet, options of connections, entries of a list.
package rig

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"elderwall/control"
	"elderwall/internal/changelog"
	"elderwall/internal/counters"
	"elderwall/internal/room"
	"elderwall/internal/upstream"
	"elderwall/settings"
)

// Settings is one zone with caches, parents and an origin, and one idempotent delivery service.
func Settings(held int) settings.Settings {
	return settings.Settings{Zones: []string{"z"}, Kinds: []string{"std", "parent", "origin"}, Services: []string{"segment"}, MostHeld: held,
		Settings: control.Settings{ParentKind: 1, OriginKind: 2, MayCancel: true, MaxForwards: 6, OldCopies: 60, Joins: true,
			ColdFrom: 0.2, RampTime: 9, TipMultiple: 2, Fall: 1, Seats: []int{1}, Dispatchers: 1,
			Services: []control.DeliveryService{{Objective: 5, ViewerTimeout: 60, Revenue: 1, Effect: control.Idempotent, Scope: control.AllHosts}}}}
}

// Options is connections that live in a group, with 16 MiB of room.
func Options(ctx context.Context, group *errgroup.Group) *upstream.Options {
	return &upstream.Options{Log: zerolog.Nop(), Counts: &counters.Counters{}, Room: room.New(1 << 24), Context: ctx, Group: group,
		IdleClose: time.Minute, Streams: 1000, Dialer: net.Dialer{Timeout: time.Second}}
}

// Entry is a cache of a list.
func Entry(id, address, state string) changelog.Host {
	return changelog.Host{ID: id, Address: address, Zone: "z", Kind: "std", State: state, Weight: 1}
}
