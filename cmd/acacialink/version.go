package main

import (
	"fmt"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
)

func addVersion(app *kingpin.Application) {
	command := app.Command("version", "Print build information.")
	command.Action(func(*kingpin.ParseContext) error {
		printVersion()
		return nil
	})
}

// printVersion prints the module version, the Go version and the VCS settings.
func printVersion() {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("acacialink (no build information)")
		return
	}
	fmt.Printf("acacialink %s %s\n", info.Main.Version, info.GoVersion)
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.time" || s.Key == "vcs.modified" || s.Key == "CGO_ENABLED" {
			fmt.Printf("%s %s\n", s.Key, s.Value)
		}
	}
}
