package replay

import (
	"bufio"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// WriteCSV writes a trace in the format that ReadCSV parses. Event times are
// rounded to milliseconds, request times to microseconds.
func WriteCSV(out io.Writer, t *Trace) error {
	w := bufio.NewWriter(out)
	fmt.Fprintf(w, "# name %s\n# seed %d\n", t.Name, t.Seed)
	if t.Model != "" {
		fmt.Fprintf(w, "# model %s\n", t.Model)
	}
	for _, e := range t.Events {
		fmt.Fprintf(w, "# event %.3f %s %s\n", e.Offset.Seconds(), e.Action, e.Target)
	}
	fmt.Fprintln(w, "TIMESTAMP,ContextTokens,GeneratedTokens,Workspace,Route,Priority,Prefix")
	for i := range t.Requests {
		r := &t.Requests[i]
		fmt.Fprintf(w, "%.6f,%d,%d,%s,%s,%s,%s\n", r.Offset.Seconds(), r.PromptTokens, r.OutputTokens, r.Workspace, r.Route, r.Priority, r.Prefix)
	}
	return errors.Wrap(w.Flush(), "write trace")
}
