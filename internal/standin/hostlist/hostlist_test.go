package hostlist_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/acacialink/acacialink/internal/platform"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
	"github.com/matryer/is"
)

func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		host := platform.Host{Name: "a", State: platform.HostLive}
		l := hostlist.New(hostlist.Options{Lag: 10 * time.Second, Hosts: []platform.Host{host}})
		time.Sleep(time.Minute)
		host.State = platform.HostLeaving
		l.Set(host)
		time.Sleep(5 * time.Second)
		l.Remove("a")
		state := func() platform.HostState {
			hosts, err := l.Hosts(t.Context())
			is.NoErr(err)
			if len(hosts) == 0 {
				return ""
			}
			return hosts[0].State
		}
		is.Equal(state(), platform.HostLive)
		time.Sleep(5 * time.Second)
		is.Equal(state(), platform.HostLeaving)
		time.Sleep(5 * time.Second)
		is.Equal(state(), platform.HostState(""))
	})
}
