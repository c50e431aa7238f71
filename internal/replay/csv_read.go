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

// Limits on a trace file.
const (
	maxRows      = 10_000_000
	maxLineBytes = 64 << 10
	maxTokens    = 10_000_000
	maxProblems  = 20
)

// Column names of a trace file, in lower case. The first three are required and
// occur in published inference traces; the others are optional.
const (
	columnTime      = "timestamp"
	columnContext   = "contexttokens"
	columnGenerated = "generatedtokens"
	columnWorkspace = "workspace"
	columnRoute     = "route"
	columnPriority  = "priority"
	columnPrefix    = "prefix"
)

// timestampLayouts are the accepted date formats of the TIMESTAMP column, which
// may also be a number of seconds.
var timestampLayouts = []string{
	"2006-01-02 15:04:05.9999999",
	"2006-01-02 15:04:05.999999999-07:00",
	time.RFC3339Nano,
}

// traceReader parses a trace file line by line.
type traceReader struct {
	trace       *Trace
	columnIndex map[string]int
	columnCount int
	lineNumber  int
	timestamps  []time.Time
	// dateCount is the number of timestamps that are dates.
	dateCount int
	problems  []string
}

// ReadCSV reads a trace in CSV format. Lines that start with # are directives,
// a name followed by values, as written by WriteCSV. The error lists all
// problems in the file with their line numbers, up to 20.
func ReadCSV(in io.Reader) (*Trace, error) {
	r := &traceReader{trace: &Trace{}}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for scanner.Scan() {
		r.lineNumber++
		r.parseLine(strings.TrimSpace(scanner.Text()))
		if len(r.problems) >= maxProblems {
			break
		}
	}
	if err := scanner.Err(); err != nil {
		r.addProblem("%v", err)
	}
	if len(r.trace.Requests) == 0 && len(r.problems) == 0 {
		r.addProblem("the file contains no requests")
	}
	if len(r.problems) == 0 {
		r.validateTimestamps()
	}
	if len(r.problems) > 0 {
		return nil, errors.Errorf("read trace:\n%s", strings.Join(r.problems, "\n"))
	}
	r.setArrivalTimes()
	r.trace.sort()
	return r.trace, nil
}

func (r *traceReader) addProblem(format string, args ...any) {
	r.problems = append(r.problems, fmt.Sprintf("line %d: ", r.lineNumber)+fmt.Sprintf(format, args...))
}

func (r *traceReader) parseLine(line string) {
	switch {
	case line == "":
	case line[0] == '#':
		r.parseDirective(strings.Fields(line[1:]))
	case r.columnIndex == nil:
		r.parseHeader(strings.Split(line, ","))
	case len(r.trace.Requests) >= maxRows:
		r.addProblem("more than %d requests", maxRows)
	default:
		r.parseRow(strings.Split(line, ","))
	}
}

// parseDirective parses a line such as "# seed 7" or "# event 12.5 lose-entry 1".
// Unknown directives are ignored as comments.
func (r *traceReader) parseDirective(words []string) {
	switch {
	case len(words) == 2 && words[0] == "name":
		r.trace.Name = words[1]
	case len(words) == 2 && words[0] == "model":
		r.trace.Model = words[1]
	case len(words) == 2 && words[0] == "seed":
		seed, err := strconv.ParseUint(words[1], 10, 64)
		if err != nil {
			r.addProblem("seed %q is not a number", words[1])
		}
		r.trace.Seed = seed
	case len(words) == 4 && words[0] == "event":
		offset, ok := parseSeconds(words[1])
		if !ok {
			r.addProblem("event time %q is not a number of seconds", words[1])
		}
		r.trace.Events = append(r.trace.Events, Event{Offset: offset, Action: words[2], Target: words[3]})
	}
}

func (r *traceReader) parseHeader(names []string) {
	known := []string{columnTime, columnContext, columnGenerated, columnWorkspace, columnRoute, columnPriority, columnPrefix}
	r.columnCount = len(names)
	r.columnIndex = make(map[string]int, len(names))
	for i, name := range names {
		name = strings.ToLower(strings.Trim(strings.TrimSpace(name), `"`))
		if !slices.Contains(known, name) {
			r.addProblem("unknown column %q; known: %s", name, strings.Join(known, ", "))
		}
		if _, duplicate := r.columnIndex[name]; duplicate {
			r.addProblem("duplicate column %q", name)
		}
		r.columnIndex[name] = i
	}
	for _, name := range known[:3] {
		if _, found := r.columnIndex[name]; !found {
			r.addProblem("missing required column %s", name)
		}
	}
}

func (r *traceReader) parseRow(fields []string) {
	if len(fields) != r.columnCount {
		r.addProblem("%d fields, but the header has %d", len(fields), r.columnCount)
		return
	}
	request := Request{
		PromptTokens: r.parseCount(fields, columnContext),
		OutputTokens: r.parseCount(fields, columnGenerated),
		Workspace:    r.field(fields, columnWorkspace),
		Route:        r.field(fields, columnRoute),
		Priority:     r.field(fields, columnPriority),
		Prefix:       r.field(fields, columnPrefix),
	}
	if p := request.Priority; p != "" && p != classInteractive && p != classStandard && p != classBatch {
		r.addProblem("priority %q is not interactive, standard or batch", p)
	}
	if _, _, ok := request.parsePrefix(); !ok {
		r.addProblem("prefix %q is not of the form NAME:TOKENS with TOKENS at most ContextTokens", request.Prefix)
	}
	r.timestamps = append(r.timestamps, r.parseTimestamp(r.field(fields, columnTime)))
	r.trace.Requests = append(r.trace.Requests, request)
}

func (r *traceReader) field(fields []string, column string) string {
	i, found := r.columnIndex[column]
	if !found {
		return ""
	}
	return strings.Trim(strings.TrimSpace(fields[i]), `"`)
}

func (r *traceReader) parseCount(fields []string, column string) int {
	text := r.field(fields, column)
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxTokens {
		r.addProblem("%s %q is not a number from 0 to %d", column, text, maxTokens)
	}
	return n
}

// parseTimestamp parses a number of seconds, relative to the zero time, or a
// date.
func (r *traceReader) parseTimestamp(text string) time.Time {
	if at, ok := parseSeconds(text); ok {
		return time.Time{}.Add(at)
	}
	for _, layout := range timestampLayouts {
		if at, err := time.Parse(layout, text); err == nil {
			r.dateCount++
			return at
		}
	}
	r.addProblem("timestamp %q is neither seconds nor a date and time", text)
	return time.Time{}
}

// maxTraceSeconds is the maximum duration of a trace: one year.
const maxTraceSeconds = 365 * 24 * 3600

func parseSeconds(text string) (time.Duration, bool) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 0 && n <= maxTraceSeconds) {
		return 0, false
	}
	return time.Duration(n * float64(time.Second)), true
}

// validateTimestamps rejects a trace that mixes seconds and dates or is longer
// than maxTraceSeconds.
func (r *traceReader) validateTimestamps() {
	first := slices.MinFunc(r.timestamps, time.Time.Compare)
	last := slices.MaxFunc(r.timestamps, time.Time.Compare)
	if r.dateCount > 0 && r.dateCount < len(r.timestamps) {
		r.addProblem("the file mixes seconds and dates")
	} else if last.Sub(first) > maxTraceSeconds*time.Second {
		r.addProblem("the trace is longer than a year")
	}
}

// setArrivalTimes sets the time of each request. Dates become relative to the
// earliest one; seconds are used unchanged.
func (r *traceReader) setArrivalTimes() {
	first := slices.MinFunc(r.timestamps, time.Time.Compare)
	if r.dateCount == 0 {
		first = time.Time{}
	}
	for i, at := range r.timestamps {
		r.trace.Requests[i].Offset = at.Sub(first)
	}
}
