package opsclient

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/opsapi"
	"github.com/acacialink/acacialink/internal/resource"
)

func printJSON(out io.Writer, value any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		return fail(exit.Failed, err, "print")
	}
	return nil
}

func (o Options) printChange(out io.Writer, answer opsapi.ChangeAnswer) error {
	if o.JSON {
		return printJSON(out, answer)
	}
	for _, r := range answer.Results {
		line := fmt.Sprintf("%s/%s %s at revision %d", r.Kind, r.Name, r.Action, r.Revision)
		if r.Secret != "" {
			line += ", key (shown this once): " + r.Secret
		}
		fmt.Fprintln(out, line)
	}
	if !answer.Accepted {
		fmt.Fprintf(out, "revision %d is stored and waits for a majority of the voters\n", answer.Revision)
	}
	return nil
}

// printResources prints the value as JSON, or a line for each resource.
func (o Options) printResources(out io.Writer, list []resource.Resource, value any) error {
	if o.JSON {
		return printJSON(out, value)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tGENERATION\tREVISION\tCONDITIONS")
	for _, r := range list {
		fmt.Fprintf(w, "%s/%s\t%d\t%d\t%s\n", r.Kind, r.Name, r.Generation, r.Revision, conditionText(r.Status))
	}
	if err := w.Flush(); err != nil {
		return fail(exit.Failed, err, "print")
	}
	return nil
}

func conditionText(s *resource.Status) string {
	if s == nil {
		return ""
	}
	text := ""
	for i, c := range s.Conditions {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s=%t", c.Type, c.Status)
		if c.Message != "" {
			text += " (" + c.Message + ")"
		}
	}
	return text
}
