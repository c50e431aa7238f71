package hostlist_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
	"github.com/matryer/is"
)

func TestHostsReturnsStateBeforeLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		host := backing.Host{Name: "a", State: backing.HostLive}
		l := hostlist.New(hostlist.Options{Lag: 10 * time.Second, Hosts: []backing.Host{host}})
		time.Sleep(time.Minute)
		host.State = backing.HostLeaving
		l.Set(host)
		time.Sleep(5 * time.Second)
		l.Remove("a")
		state := func() backing.HostState {
			hosts, err := l.Hosts(t.Context())
			is.NoErr(err)
			if len(hosts) == 0 {
				return ""
			}
			return hosts[0].State
		}
		is.Equal(state(), backing.HostLive)
		time.Sleep(5 * time.Second)
		is.Equal(state(), backing.HostLeaving)
		time.Sleep(5 * time.Second)
		is.Equal(state(), backing.HostState(""))
	})
}
