package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/host"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/outbound"
	"github.com/acacialink/acacialink/platform"
)

// softMemoryFraction is the soft memory limit of the garbage collector as a
// fraction of the hard memory limit of the process.
const softMemoryFraction = 0.7

func addGateway(app *kingpin.Application) {
	command := app.Command("gateway", "Run an entry host on the users' platform.")
	settings := command.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	command.Action(func(*kingpin.ParseContext) error { return runGateway(*settings) })
}

// runGateway runs an entry host until SIGTERM or SIGINT.
func runGateway(path string) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // first: until then the signal ends the process
	s, err := platform.LoadSettings(path)
	if err != nil {
		return exit.With(exit.Settings, err)
	}
	limitMemory(s)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	id := observe.Identity{Process: s.Host.Name, Role: "entry", Domain: s.Host.Domain}
	out := observe.NewAsyncWriter(os.Stdout, id)
	defer out.Close()
	log := observe.NewLogger(out, slog.LevelInfo, id)
	go reloadOnHangup(hangups, path, log)
	log.Info("start", "callers", s.Host.CallerAddress, "ready", s.Host.OperatorAddress, "peers", s.Host.PeerAddress, "store", s.StoreAddress, "first_start", s.Host.FirstStart)
	h := host.New(host.Options{Settings: s.Host, Ports: ports(s), Registry: observe.NewRegistry(id), Log: log})
	err = h.Run(stop)
	requests := h.Account()
	log.Info("stop", "begun", requests.Begun, "ended", requests.Ended, "cut_off", requests.CutOff, "panicked", requests.Panicked, "lines_dropped", out.Dropped(), observe.FieldError, err)
	return err
}

// limitMemory sets the soft memory limit of the garbage collector.
func limitMemory(s platform.Settings) {
	if s.Host.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryFraction * float64(s.Host.MemoryBytes)))
	}
}

// reloadOnHangup reloads the settings at each hangup. Only the memory limit can
// change; the listen addresses, the failure domain and all other settings are
// fixed at the start of the process.
func reloadOnHangup(hangups <-chan os.Signal, path string, log *slog.Logger) {
	for range hangups {
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.Warn("reloading settings failed", observe.FieldError, err)
			continue
		}
		limitMemory(s)
		log.Info("settings reloaded", "memory_bytes", s.Host.MemoryBytes)
	}
}

// ports returns the platform's implementations of the ports of an entry host.
func ports(s platform.Settings) host.Ports {
	pool := outbound.NewPool()
	endpoints := &platform.EndpointClient{Pool: pool}
	p := host.Ports{
		Store:       platform.NewStore(s.StoreAddress),
		Config:      host.ConfigSource{Key: platform.ConfigKey, Decode: platform.DecodeConfig},
		Endpoints:   host.EndpointSource{Prefix: platform.EndpointsPrefix, Decode: platform.DecodeEndpoint, ID: platform.EndpointID},
		Evacuations: host.EvacuationSource{Prefix: platform.OperatorPrefix, Domain: platform.EvacuatedDomain},
		Ingress:     platform.Ingress{}, Sender: endpoints, Connections: pool, Engines: endpoints,
	}
	if s.ReportsUsage {
		p.Reporter = platform.NewAPIClient(s.APIAddress)
	}
	return p
}
