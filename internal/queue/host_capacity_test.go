package queue

import (
	"testing"

	"github.com/matryer/is"
)

func TestHostCapacityIsEqualSharePlusHeadroom(t *testing.T) {
	is := is.New(t)
	total := Capacity{PrefillTokens: 1000, KVBlocks: 100, Streams: 40, PrefillRate: 80, DecodeRate: 8}
	idle := HostCapacity(total, Capacity{}, Capacity{}, 4)
	is.Equal(idle, Capacity{PrefillTokens: 350, KVBlocks: 35, Streams: 14, PrefillRate: 20, DecodeRate: 2})
	busy := HostCapacity(total, total, Capacity{Streams: 4, KVBlocks: 90}, 4)
	is.Equal(busy.Streams, int64(10))  // at least the equal share at full utilization
	is.Equal(busy.KVBlocks, int64(90)) // not below the host's own work in progress
	is.Equal(busy.PrefillTokens, int64(250))
	is.Equal(HostCapacity(total, Capacity{}, Capacity{}, 1), total)
	is.Equal(HostCapacity(total, Capacity{}, Capacity{Streams: 39}, 0).Streams, int64(40))
}
