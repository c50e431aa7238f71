package main

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/explain"
)

func addExplain(app *kingpin.Application) {
	command := app.Command("explain", "Tell one request's story from the logs of all hosts.")
	id := command.Arg("id", "The request's id.").Required().String()
	files := command.Arg("file", "Log files; none reads standard input.").Strings()
	command.Action(func(*kingpin.ParseContext) error { return explainRequest(*id, *files) })
}

// explainRequest writes the history of a request to standard output. Without
// files it reads the logs from standard input.
func explainRequest(id string, files []string) error {
	readers := []io.Reader{os.Stdin}
	if len(files) > 0 {
		readers = nil
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return exit.With(exit.Usage, errors.Wrap(err, "open log file"))
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return explain.WriteTimeline(io.MultiReader(readers...), id, os.Stdout)
}
