package replay

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a trace file.
const (
	maxRows     = 10_000_000
	maxLine     = 64 << 10
	maxTokens   = 10_000_000
	maxProblems = 20
)

// Columns of a trace file. The first three are required and stand in
// published inference traces; the others may be left out.
const (
	columnTime      = "timestamp"
	columnContext   = "contexttokens"
	columnGenerated = "generatedtokens"
	columnWorkspace = "workspace"
	columnRoute     = "route"
	columnPriority  = "priority"
	columnPrefix    = "prefix"
)

// timeLayouts are the forms of TIMESTAMP beside seconds as a number.
var timeLayouts = []string{
	"2006-01-02 15:04:05.9999999",
	"2006-01-02 15:04:05.999999999-07:00",
	time.RFC3339Nano,
}

// reader reads a trace file line by line.
type reader struct {
	trace   *Trace
	columns map[string]int
	width   int
	line    int
	times   []time.Time
	// dates counts the times that are dates.
	dates    int
	problems []string
}

// ReadCSV reads a trace. Lines that begin with # hold a name and a value each,
// as WriteCSV writes them. All faults of the file, up to 20, are reported at
// once with their lines.
func ReadCSV(in io.Reader) (*Trace, error) {
	r := &reader{trace: &Trace{}}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, maxLine), maxLine)
	for scanner.Scan() {
		r.line++
		r.read(strings.TrimSpace(scanner.Text()))
		if len(r.problems) >= maxProblems {
			break
		}
	}
	if err := scanner.Err(); err != nil {
		r.fail("%v", err)
	}
	if len(r.trace.Requests) == 0 && len(r.problems) == 0 {
		r.fail("the file holds no requests")
	}
	if len(r.problems) == 0 {
		r.checkTimes()
	}
	if len(r.problems) > 0 {
		return nil, errors.Errorf("read trace:\n%s", strings.Join(r.problems, "\n"))
	}
	r.fromStart()
	r.trace.sort()
	return r.trace, nil
}

func (r *reader) fail(format string, args ...any) {
	r.problems = append(r.problems, fmt.Sprintf("line %d: ", r.line)+fmt.Sprintf(format, args...))
}

func (r *reader) read(line string) {
	switch {
	case line == "":
	case line[0] == '#':
		r.readNote(strings.Fields(line[1:]))
	case r.columns == nil:
		r.readHeader(strings.Split(line, ","))
	case len(r.trace.Requests) >= maxRows:
		r.fail("more than %d requests", maxRows)
	default:
		r.readRow(strings.Split(line, ","))
	}
}

// readNote reads a line such as "# seed 7" or "# event 12.5 lose-entry 1".
// Other comments are skipped.
func (r *reader) readNote(words []string) {
	switch {
	case len(words) == 2 && words[0] == "name":
		r.trace.Name = words[1]
	case len(words) == 2 && words[0] == "model":
		r.trace.Model = words[1]
	case len(words) == 2 && words[0] == "seed":
		seed, err := strconv.ParseUint(words[1], 10, 64)
		if err != nil {
			r.fail("seed %q is no number", words[1])
		}
		r.trace.Seed = seed
	case len(words) == 4 && words[0] == "event":
		at, ok := seconds(words[1])
		if !ok {
			r.fail("event time %q is no number of seconds", words[1])
		}
		r.trace.Events = append(r.trace.Events, Event{At: at, Action: words[2], Target: words[3]})
	}
}

func (r *reader) readHeader(names []string) {
	known := []string{columnTime, columnContext, columnGenerated, columnWorkspace, columnRoute, columnPriority, columnPrefix}
	r.width = len(names)
	r.columns = make(map[string]int, len(names))
	for i, name := range names {
		name = strings.ToLower(strings.Trim(strings.TrimSpace(name), `"`))
		if !slices.Contains(known, name) {
			r.fail("unknown column %q; known: %s", name, strings.Join(known, ", "))
		}
		if _, twice := r.columns[name]; twice {
			r.fail("column %q is given twice", name)
		}
		r.columns[name] = i
	}
	for _, name := range known[:3] {
		if _, found := r.columns[name]; !found {
			r.fail("the header lacks the column %s", name)
		}
	}
}

func (r *reader) readRow(fields []string) {
	if len(fields) != r.width {
		r.fail("%d fields, the header has %d", len(fields), r.width)
		return
	}
	request := Request{
		Context:   r.count(fields, columnContext),
		Generated: r.count(fields, columnGenerated),
		Workspace: r.field(fields, columnWorkspace),
		Route:     r.field(fields, columnRoute),
		Priority:  r.field(fields, columnPriority),
		Prefix:    r.field(fields, columnPrefix),
	}
	if p := request.Priority; p != "" && p != classInteractive && p != classStandard && p != classBatch {
		r.fail("priority %q is not interactive, standard or batch", p)
	}
	if _, _, ok := request.prefix(); !ok {
		r.fail("prefix %q is not of the form NAME:TOKENS with at most ContextTokens", request.Prefix)
	}
	r.times = append(r.times, r.time(r.field(fields, columnTime)))
	r.trace.Requests = append(r.trace.Requests, request)
}

func (r *reader) field(fields []string, column string) string {
	i, found := r.columns[column]
	if !found {
		return ""
	}
	return strings.Trim(strings.TrimSpace(fields[i]), `"`)
}

func (r *reader) count(fields []string, column string) int {
	text := r.field(fields, column)
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxTokens {
		r.fail("%s %q is not a number from 0 to %d", column, text, maxTokens)
	}
	return n
}

// time reads a moment; seconds count from the zero time.
func (r *reader) time(text string) time.Time {
	if at, ok := seconds(text); ok {
		return time.Time{}.Add(at)
	}
	for _, layout := range timeLayouts {
		if at, err := time.Parse(layout, text); err == nil {
			r.dates++
			return at
		}
	}
	r.fail("timestamp %q is neither seconds nor a date and time", text)
	return time.Time{}
}

// maxSeconds bounds a time within a trace: a year.
const maxSeconds = 365 * 24 * 3600

func seconds(text string) (time.Duration, bool) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 0 && n <= maxSeconds) {
		return 0, false
	}
	return time.Duration(n * float64(time.Second)), true
}

// checkTimes refuses a file with both seconds and dates, and one longer than a
// trace may be.
func (r *reader) checkTimes() {
	first := slices.MinFunc(r.times, time.Time.Compare)
	last := slices.MaxFunc(r.times, time.Time.Compare)
	if r.dates > 0 && r.dates < len(r.times) {
		r.fail("the file holds both seconds and dates")
	} else if last.Sub(first) > maxSeconds*time.Second {
		r.fail("the trace is longer than a year")
	}
}

// fromStart makes dates relative to the first one. Seconds stay as they are.
func (r *reader) fromStart() {
	first := slices.MinFunc(r.times, time.Time.Compare)
	if r.dates == 0 {
		first = time.Time{}
	}
	for i, at := range r.times {
		r.trace.Requests[i].At = at.Sub(first)
	}
}
