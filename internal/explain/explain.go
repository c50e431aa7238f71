// Package explain tells one request's story from the log lines of all hosts.
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

// ErrNotFound means that no line names the request.
var ErrNotFound = errors.New("no log line names the request")

const (
	// maxLine bounds a log line.
	maxLine = 1 << 20
	// around is how long before and after the request changes of what its
	// hosts believed are told: a lost host or endpoint shows within seconds.
	around = 3 * time.Second
)

// line is one log line.
type line struct {
	at      time.Time
	process string
	message string
	fields  map[string]any
}

// beliefs are the messages that tell what a host came to believe.
var beliefs = []string{
	"configuration in force", "endpoint added", "endpoint leaves", "endpoint changed its stage", "stage ordered",
	"dependency lost", "dependency regained", "peer lost", "peer regained", "peer left", "draining", "drained", "start", "stop",
	"log lines dropped",
}

// Story writes what the lines say of the request, in the order of time, with
// the changes of belief of the hosts that served it. What stands before a
// line's first brace is ignored, as log collectors put it there.
func Story(in io.Reader, id string, out io.Writer) error {
	own, changes, unread, err := read(in, id)
	if err != nil {
		return err
	}
	if len(own) == 0 {
		return errors.Wrapf(ErrNotFound, "request %s, %d lines could not be read", id, unread)
	}
	story := append(own, relevant(own, changes)...)
	sort.SliceStable(story, func(i, j int) bool { return story[i].at.Before(story[j].at) })
	begun := own[0].at
	for _, l := range story {
		mark := " "
		if l.fields[observe.FieldRequestID] == id {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %+9.3fs %s: %s%s\n", mark, l.at.Sub(begun).Seconds(), l.process, l.message, l.details()); err != nil {
			return errors.Wrap(err, "write the story")
		}
	}
	if unread > 0 {
		_, err = fmt.Fprintf(out, "%d lines could not be read\n", unread)
	}
	return errors.Wrap(err, "write the story")
}

func read(in io.Reader, id string) (own, changes []line, unread int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		brace := bytes.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		l, ok := decode(text[brace:])
		switch {
		case !ok:
			unread++
		case l.fields[observe.FieldRequestID] == id:
			own = append(own, l)
		case slices.Contains(beliefs, l.message):
			changes = append(changes, l)
		}
	}
	return own, changes, unread, errors.Wrap(scanner.Err(), "read log lines")
}

func decode(text []byte) (line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return line{}, false
	}
	stamp, _ := fields[observe.FieldTime].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return line{}, false
	}
	l := line{at: at, fields: fields}
	l.process, _ = fields[observe.FieldProcess].(string)
	l.message, _ = fields[observe.FieldMessage].(string)
	return l, true
}

// relevant are the changes at the request's hosts around its time; of changes
// of endpoints only those of endpoints that its lines name.
func relevant(own, changes []line) []line {
	first, last := own[0].at, own[0].at
	hosts, named := make(map[string]bool), make(map[any]bool)
	for _, l := range own {
		hosts[l.process] = true
		named[l.fields[observe.FieldEndpoint]] = true
		named[l.fields["prefill"]] = true
		if ms, ok := l.fields[observe.FieldDuration].(float64); ok {
			if begun := l.at.Add(-time.Duration(ms * float64(time.Millisecond))); begun.Before(first) {
				first = begun
			}
		}
		if l.at.After(last) {
			last = l.at
		}
	}
	var out []line
	for _, l := range changes {
		endpoint := l.fields[observe.FieldEndpoint]
		if hosts[l.process] && !l.at.Before(first.Add(-around)) && !l.at.After(last.Add(around)) && (endpoint == nil || named[endpoint]) {
			out = append(out, l)
		}
	}
	return out
}

// details are the line's other fields, by name.
func (l line) details() string {
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
