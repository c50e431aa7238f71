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
	"sort"
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
	"configuration in force", "endpoint added", "endpoint leaves", "endpoint changed its stage", "stage ordered",
	"dependency lost", "dependency regained", "peer lost", "peer regained", "peer left", "draining", "drained", "start", "stop",
	"log lines dropped",
}

// WriteTimeline writes the log lines of the request with the given ID in time order,
// together with the state changes of the hosts that served it. It marks the request's
// own lines with an asterisk and gives times relative to the first of them in the
// input. Text before a line's first brace is ignored, because log collectors add
// prefixes. It returns an error that wraps ErrNotFound if no line has the ID.
func WriteTimeline(in io.Reader, id string, out io.Writer) error {
	own, changes, invalid, err := readLines(in, id)
	if err != nil {
		return err
	}
	if len(own) == 0 {
		return errors.Wrapf(ErrNotFound, "request %s, %d lines could not be read", id, invalid)
	}
	timeline := append(own, relevantChanges(own, changes)...)
	sort.SliceStable(timeline, func(i, j int) bool { return timeline[i].at.Before(timeline[j].at) })
	start := own[0].at
	for _, l := range timeline {
		marker := " "
		if l.fields[observe.FieldRequestID] == id {
			marker = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %+9.3fs %s: %s%s\n", marker, l.at.Sub(start).Seconds(), l.process, l.message, l.details()); err != nil {
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
		case slices.Contains(stateChanges, l.message):
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
// stateChangeWindow of the request. Of changes of endpoints it includes only those of
// endpoints that the request's lines name.
func relevantChanges(own, changes []logLine) []logLine {
	first, last := own[0].at, own[0].at
	hosts, named := make(map[string]bool), make(map[any]bool)
	for _, l := range own {
		hosts[l.process] = true
		named[l.fields[observe.FieldEndpoint]] = true
		named[l.fields["prefill"]] = true
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
