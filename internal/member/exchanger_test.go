package member

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// peerNet carries exchanges between tables within the test.
type peerNet struct {
	tables map[string]*Table
	// hung is the address that takes calls and never answers.
	hung atomic.Value
}

func (n *peerNet) Exchange(ctx context.Context, peer string, m *wire.PeerMessage) (*wire.PeerMessage, error) {
	if n.hung.Load() == peer {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	table := n.tables[peer]
	answer := table.HandleExchange(m.GetFrom(), m.GetMember(), time.Now())
	return &wire.PeerMessage{From: table.cfg.Name, Incarnation: table.cfg.Incarnation, Member: answer}, nil
}

// hostList is the platform's list of the test; it hangs while it is nil.
type hostList []backing.Host

func (l hostList) Hosts(ctx context.Context) ([]backing.Host, error) {
	if l == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return l, nil
}

// TestExchangers runs three processes' loops: they find each other by the host
// list alone, one hangs and is gone, and all loops end with their context.
func TestExchangers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := &peerNet{tables: map[string]*Table{}}
		var hosts hostList
		var configs []Config
		for i := range 3 {
			cfg := Config{
				Name: fmt.Sprint("entry-", i), Domain: "north", Address: nodeAddress(i), Incarnation: "i1",
				Period: time.Second, Fanout: 2, Suspect: 5 * time.Second, HostList: 5 * time.Second, Watchers: 2, Seed: uint64(i),
			}
			configs = append(configs, cfg)
			network.tables[cfg.Address] = NewTable(cfg, time.Now())
			hosts = append(hosts, backing.Host{Name: cfg.Name, Address: cfg.Address, State: backing.HostLive})
		}
		var loops sync.WaitGroup
		var stops []context.CancelFunc
		for i, cfg := range configs {
			list := hosts
			if i == 2 {
				list = nil // Its host list hangs: the others find it.
			}
			ctx, stop := context.WithCancel(t.Context())
			stops = append(stops, stop)
			exchanger := NewExchanger(network.tables[cfg.Address], cfg, network, list, 800*time.Millisecond, slog.New(slog.DiscardHandler))
			loops.Go(func() { exchanger.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		for _, table := range network.tables {
			is.Equal(len(table.Entries(time.Now())), 3)
		}
		network.hung.Store(nodeAddress(1))
		stops[1]()
		time.Sleep(20 * time.Second)
		for _, m := range network.tables[nodeAddress(0)].Entries(time.Now()) {
			is.Equal(m.State == Gone, m.Name == "entry-1")
		}
		stops[0]()
		stops[2]()
		loops.Wait()
	})
}
