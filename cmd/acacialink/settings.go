package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/settings"
)

func addSettings(app *kingpin.Application) {
	command := app.Command("settings", "Work with settings files.")
	check := command.Command("check", "Check a settings file and report every problem.")
	path := check.Arg("file", "Settings file.").Required().String()
	check.Action(func(*kingpin.ParseContext) error { return checkSettings(*path) })
}

// checkSettings prints the problems of a settings file. It returns an error if
// there are any.
func checkSettings(path string) error {
	problems, err := settings.Check(path)
	if err != nil {
		return exit.With(exit.Settings, err)
	}
	for _, p := range problems {
		fmt.Printf("%s: %s\n", path, p)
	}
	if len(problems) > 0 {
		return exit.With(exit.Settings, errors.Errorf("%s has %d problems", path, len(problems)))
	}
	fmt.Printf("%s: settings are valid\n", path)
	return nil
}
