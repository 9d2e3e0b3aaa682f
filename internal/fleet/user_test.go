package fleet_test

import (
	"context"

	"elderwall/client"
	"elderwall/fleet/channels"
	"elderwall/internal/fleet"
)

func init() {
	fleet.UserOf = func(addresses []string, key string) fleet.User {
		f, err := client.OpenKey(addresses, key)
		if err != nil {
			panic(err)
		}
		f.First(addresses[0])
		after := func(channel, writer string, after map[string]uint64) func(context.Context, string, ...string) error {
			p := f.Publisher(channel, client.State{Writer: writer, After: after}, nil)
			return func(ctx context.Context, key string, bodies ...string) error {
				var all []client.Message
				for _, b := range bodies {
					all = append(all, client.Message{Key: key, Body: []byte(b)})
				}
				return p.Publish(ctx, all...)
			}
		}
		return fleet.User{Follow: f.Follow, Declare: func(ctx context.Context, d channels.Declaration) error { return f.Declare(ctx, d) }, After: after,
			Writer: func(channel, writer string) func(context.Context, string, ...string) error {
				return after(channel, writer, nil)
			}}
	}
}
