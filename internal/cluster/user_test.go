package cluster_test

import (
	"context"

	"elderwall/client"
	"elderwall/core/cluster/channel"
	"elderwall/internal/cluster"
)

func init() {
	cluster.UserOf = func(addresses []string, key string) cluster.User {
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
		return cluster.User{
			Follow: f.Follow, Declare: func(ctx context.Context, d channel.Declaration) error { return f.Declare(ctx, d) }, After: after,
			Writer: func(channel, writer string) func(context.Context, string, ...string) error {
				return after(channel, writer, nil)
			},
		}
	}
}
