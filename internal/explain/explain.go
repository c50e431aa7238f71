// Package explain reconstructs the timeline of one request from the logs of all
// hosts.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/observe"
)

// ErrNotFound means that no log line has the request's ID.
var ErrNotFound = errors.New("no log line names the request")

const (
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
	// stateChangeWindow is how long before and after the request its hosts' state
	// changes are included. Hosts notice the loss of a host or endpoint within
	// seconds.
	stateChangeWindow = 3 * time.Second
)

// logLine is one decoded log line.
type logLine struct {
	at      time.Time
	process string
	message string
	fields  map[string]any
}

// stateChanges are the messages that report a change of a host's cached state or of
// the host itself.
var stateChanges = []string{
	"configuration in force", "endpoint added", "endpoint leaves", "endpoint stated that it leaves", "endpoint stated a pause", "endpoint changed its stage", "stage ordered",
	"dependency lost", "dependency regained", "store restored", "configuration in the store is older", "configuration withdrawn", "peer lost", "peer regained", "peer left", "draining", "drained", "refusing requests", "closing connections", "start", "stop",
	observe.MessageLinesDropped, "engine crashed under requests",
}

// segmentChanges are the messages that report what is concluded about a segment of
// prompts. They are included at any time before the request.
var segmentChanges = []string{"segment held back", "segment cleared", "segment tried again", "operator decided about a segment"}

// messageEnded is the message of the line that ends a request.
const messageEnded = "request ended"

// droppedLines returns the number of lines that the state changes report as dropped.
func droppedLines(changes []logLine) (dropped int64) {
	for _, l := range changes {
		if n, ok := l.fields[observe.FieldDropped].(float64); ok && l.message == observe.MessageLinesDropped {
			dropped += int64(n)
		}
	}
	return dropped
}

// foldedLine is a line of the timeline that stands for count consecutive ones, of which
// the last was written at last.
type foldedLine struct {
	logLine
	count int
	last  time.Time
}

// fold folds consecutive lines that differ in nothing but figures.
func fold(timeline []logLine) []foldedLine {
	var folded []foldedLine
	for _, l := range timeline {
		if n := len(folded) - 1; n >= 0 && folded[n].repeats(l) {
			folded[n].count++
			folded[n].last = l.at
			continue
		}
		folded = append(folded, foldedLine{logLine: l, count: 1, last: l.at})
	}
	return folded
}

// repeats reports whether other is the same line but for its time and its figures.
func (l logLine) repeats(other logLine) bool {
	if l.message != other.message || l.process != other.process || len(l.fields) != len(other.fields) {
		return false
	}
	for name, value := range l.fields {
		text, isText := value.(string)
		if otherValue, ok := other.fields[name]; !ok || isText && name != observe.FieldTime && otherValue != text {
			return false
		}
	}
	return true
}

// WriteTimeline writes the log lines of the request with the given ID in time order,
// together with the state changes of the hosts that served it. It marks the request's
// own lines with an asterisk and gives times relative to the earliest of them.
// Consecutive lines that differ in nothing but figures are folded into the first. If no
// line tells how the request ended, it says so, and how many lines its hosts dropped
// meanwhile. Text before a line's first brace is ignored, because log collectors add
// prefixes. It returns an error that wraps ErrNotFound if no line has the ID.
func WriteTimeline(in io.Reader, id string, out io.Writer) error {
	own, changes, invalid, err := readLines(in, id)
	if err != nil {
		return err
	}
	if len(own) == 0 {
		return errors.Wrapf(ErrNotFound, "request %s, %d lines could not be read, the hosts dropped %d", id, invalid, droppedLines(changes))
	}
	slices.SortStableFunc(own, func(a, b logLine) int { return a.at.Compare(b.at) })
	relevant := relevantChanges(own, changes)
	start, ended := own[0].at, slices.ContainsFunc(own, func(l logLine) bool { return l.message == messageEnded })
	timeline := append(own, relevant...)
	slices.SortStableFunc(timeline, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range fold(timeline) {
		marker := " "
		if l.fields[observe.FieldRequestID] == id {
			marker = "*"
		}
		repeats := ""
		if l.count > 1 {
			repeats = fmt.Sprintf(" (%d times in %.3f s)", l.count, l.last.Sub(l.at).Seconds())
		}
		if _, err := fmt.Fprintf(out, "%s %+9.3fs %s: %s%s%s\n", marker, l.at.Sub(start).Seconds(), l.process, l.message, repeats, l.details()); err != nil {
			return errors.Wrap(err, "write the timeline")
		}
	}
	if !ended {
		if _, err := fmt.Fprintf(out, "no line tells how the request ended; its hosts dropped %d lines around that time\n", droppedLines(relevant)); err != nil {
			return errors.Wrap(err, "write the timeline")
		}
	}
	if invalid > 0 {
		_, err = fmt.Fprintf(out, "%d lines could not be read\n", invalid)
	}
	return errors.Wrap(err, "write the timeline")
}

// readLines returns the request's lines, the state changes of all hosts and the number
// of lines that could not be decoded.
func readLines(in io.Reader, id string) (own, changes []logLine, invalid int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		brace := bytes.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		l, ok := decodeLine(text[brace:])
		switch {
		case !ok:
			invalid++
		case l.fields[observe.FieldRequestID] == id:
			own = append(own, l)
		case slices.Contains(stateChanges, l.message), slices.Contains(segmentChanges, l.message):
			changes = append(changes, l)
		}
	}
	return own, changes, invalid, errors.Wrap(scanner.Err(), "read log lines")
}

// decodeLine decodes the JSON text of a line; false means that it is invalid or has no
// valid time.
func decodeLine(text []byte) (logLine, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return logLine{}, false
	}
	timestamp, _ := fields[observe.FieldTime].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return logLine{}, false
	}
	l := logLine{at: at, fields: fields}
	l.process, _ = fields[observe.FieldProcess].(string)
	l.message, _ = fields[observe.FieldMessage].(string)
	return l, true
}

// relevantChanges returns the state changes of the request's hosts within
// stateChangeWindow of the request. Of changes of endpoints and segments it includes only
// those of which the request's lines name the endpoint or the segment.
func relevantChanges(own, changes []logLine) []logLine {
	first, last := own[0].at, own[0].at
	hosts, named, segments := make(map[string]bool), make(map[any]bool), make(map[any]bool)
	for _, l := range own {
		hosts[l.process] = true
		named[l.fields[observe.FieldEndpoint]] = true
		named[l.fields["prefill"]] = true
		segments[l.fields["segment"]] = true
		if ms, ok := l.fields[observe.FieldDuration].(float64); ok {
			if start := l.at.Add(-time.Duration(ms * float64(time.Millisecond))); start.Before(first) {
				first = start
			}
		}
		if l.at.After(last) {
			last = l.at
		}
	}
	var relevant []logLine
	for _, l := range changes {
		if slices.Contains(segmentChanges, l.message) {
			if hosts[l.process] && segments[l.fields["segment"]] && !l.at.After(last.Add(stateChangeWindow)) {
				relevant = append(relevant, l)
			}
			continue
		}
		endpoint := l.fields[observe.FieldEndpoint]
		if hosts[l.process] && !l.at.Before(first.Add(-stateChangeWindow)) && !l.at.After(last.Add(stateChangeWindow)) && (endpoint == nil || named[endpoint]) {
			relevant = append(relevant, l)
		}
	}
	return relevant
}

// details formats the line's remaining fields, sorted by name.
func (l logLine) details() string {
	var names []string
	for name := range l.fields {
		switch name {
		case observe.FieldTime, observe.FieldLevel, observe.FieldMessage, observe.FieldProcess, observe.FieldRole, observe.FieldDomain, observe.FieldRequestID:
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
