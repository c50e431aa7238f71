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

// memoryShare is the part of a process's hard memory limit at which the
// collector works against further growth.
const memoryShare = 0.7

func addGateway(app *kingpin.Application) {
	command := app.Command("gateway", "Run an entry host on the users' platform.")
	settings := command.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	command.Action(func(*kingpin.ParseContext) error { return runGateway(*settings) })
}

func runGateway(path string) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return exit.With(exit.Settings, err)
	}
	limitMemory(s)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	out := observe.NewAsyncWriter(os.Stdout)
	defer out.Close()
	id := observe.Identity{Process: s.Host.Name, Role: "entry", Domain: s.Host.Domain}
	log := observe.NewLogger(out, slog.LevelInfo, id)
	go reloads(path, log)
	log.Info("start", "callers", s.Host.Callers, "ready", s.Host.Ready, "peers", s.Host.Peers, "store", s.Store, "first_start", s.Host.FirstStart)
	err = host.New(host.Options{Settings: s.Host, Ports: ports(s), Registry: observe.NewRegistry(id), Log: log}).Run(stop)
	log.Info("stop", observe.FieldError, err)
	return err
}

// limitMemory keeps the heap below the process's limit.
func limitMemory(s platform.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
}

// reloads reads the settings again at each SIGHUP. What a process listens on
// and belongs to is fixed at its start; its memory limit may change.
func reloads(path string, log *slog.Logger) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	for range hups {
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.Warn("settings not reloaded", observe.FieldError, err)
			continue
		}
		limitMemory(s)
		log.Info("settings reloaded", "memory_bytes", s.MemoryBytes)
	}
}

func ports(s platform.Settings) host.Ports {
	pool := outbound.NewPool()
	endpoints := &platform.Endpoints{Pool: pool}
	p := host.Ports{
		Store:     platform.NewStore(s.Store),
		Config:    host.ConfigSource{Key: platform.ConfigKey, Decode: platform.DecodeConfig},
		Endpoints: host.EndpointSource{Prefix: platform.EndpointsPrefix, Decode: platform.DecodeEndpoint, ID: platform.EndpointID},
		Ingress:   platform.Ingress{}, Sender: endpoints, Connections: pool, Engines: endpoints,
	}
	if s.ReportsUsage {
		p.Reporter = platform.NewAPI(s.API)
	}
	return p
}
