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
		return wrapWithCode(exit.Failed, err, "print")
	}
	return nil
}

func (o Options) printChange(out io.Writer, response opsapi.ChangeResponse) error {
	if o.JSON {
		return printJSON(out, response)
	}
	for _, r := range response.Results {
		line := fmt.Sprintf("%s/%s %s at revision %d", r.Kind, r.Name, r.Action, r.Revision)
		if r.Secret != "" {
			line += ", key (shown this once): " + r.Secret
		}
		fmt.Fprintln(out, line)
	}
	if !response.Accepted {
		fmt.Fprintf(out, "revision %d is stored and waits for a majority of the voters\n", response.Revision)
	}
	return nil
}

// printResources prints value as JSON, or list as a table, depending on
// Options.JSON.
func (o Options) printResources(out io.Writer, list []resource.Resource, value any) error {
	if o.JSON {
		return printJSON(out, value)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tGENERATION\tREVISION\tCONDITIONS")
	for _, r := range list {
		fmt.Fprintf(w, "%s/%s\t%d\t%d\t%s\n", r.Kind, r.Name, r.Generation, r.Revision, formatConditions(r.Status))
	}
	if err := w.Flush(); err != nil {
		return wrapWithCode(exit.Failed, err, "print")
	}
	return nil
}

// formatConditions formats the conditions of a resource on one line.
func formatConditions(s *resource.Status) string {
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
