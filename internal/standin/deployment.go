package standin

import (
	"net"
	"net/http"

	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
	"github.com/acacialink/acacialink/internal/standin/kv"
	"github.com/acacialink/acacialink/internal/standin/kvserver"
	"github.com/acacialink/acacialink/internal/standin/provider"
	"github.com/acacialink/acacialink/internal/standin/service"
	"github.com/acacialink/acacialink/internal/standin/usagesink"
	"github.com/acacialink/acacialink/internal/standin/weights"
)

// defaultIP is the default listen address of a deployment.
const defaultIP = "127.0.0.1"

// Options configures a Deployment.
type Options struct {
	// IP is the listen address of all stand-ins; each uses a free port. Empty
	// means 127.0.0.1.
	IP        string
	Store     kv.Options
	Engines   []engine.Options
	Services  []service.Options
	Provider  provider.Options
	UsageSink usagesink.Options
	HostList  hostlist.Options
	Weights   weights.Options
}

// Instance is a running stand-in together with the HTTP server that exposes it.
type Instance[T any] struct {
	*Server
	Standin T
}

// Deployment is a set of stand-ins that run in this process.
type Deployment struct {
	Store     Instance[*kv.Store]
	Engines   []Instance[*engine.Engine]
	Services  []Instance[*service.Service]
	Provider  Instance[*provider.Provider]
	UsageSink Instance[*usagesink.Sink]
	HostList  Instance[*hostlist.List]
	Weights   Instance[*weights.Store]

	ip      string
	servers []*Server
}

// Start starts all stand-ins. Model and adapter loads of an engine go through
// the deployment's weight store unless its LoadTime option is set. On error,
// Start closes the stand-ins that it has already started.
func Start(o Options) (*Deployment, error) {
	if o.IP == "" {
		o.IP = defaultIP
	}
	d := &Deployment{ip: o.IP}
	if err := d.start(o); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(o Options) error {
	steps := []func() error{
		func() error { return d.startStore(o.Store) },
		func() (err error) { d.Provider, err = listen(d, provider.New(o.Provider)); return err },
		func() (err error) { d.UsageSink, err = listen(d, usagesink.New(o.UsageSink)); return err },
		func() (err error) { d.HostList, err = listen(d, hostlist.New(o.HostList)); return err },
		func() (err error) { d.Weights, err = listen(d, weights.New(o.Weights)); return err },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	for _, options := range o.Engines {
		if _, err := d.AddEngine(options); err != nil {
			return err
		}
	}
	for _, options := range o.Services {
		if _, err := d.AddService(options); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startStore(o kv.Options) error {
	server := kvserver.New(kvserver.Options{StoreOptions: o})
	instance, err := listen(d, server)
	d.Store = Instance[*kv.Store]{Server: instance.Server, Standin: server.Store()}
	return err
}

// AddEngine starts an additional engine.
func (d *Deployment) AddEngine(o engine.Options) (Instance[*engine.Engine], error) {
	if o.LoadTime == nil {
		o.LoadTime = d.Weights.Standin.StartLoad
	}
	instance, err := listen(d, engine.New(o))
	if err == nil {
		d.Engines = append(d.Engines, instance)
	}
	return instance, err
}

// AddService starts an additional plain service.
func (d *Deployment) AddService(o service.Options) (Instance[*service.Service], error) {
	instance, err := listen(d, service.New(o))
	if err == nil {
		d.Services = append(d.Services, instance)
	}
	return instance, err
}

// Close stops all stand-ins without a graceful shutdown.
func (d *Deployment) Close() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	if d.Store.Standin != nil {
		d.Store.Standin.Close()
	}
}

// httpStandin is a stand-in that can be served over HTTP.
type httpStandin interface {
	Handler() http.Handler
}

func listen[T httpStandin](d *Deployment, standin T) (Instance[T], error) {
	server, err := Listen(net.JoinHostPort(d.ip, "0"), standin.Handler())
	if err != nil {
		return Instance[T]{}, err
	}
	d.servers = append(d.servers, server)
	return Instance[T]{Server: server, Standin: standin}, nil
}
