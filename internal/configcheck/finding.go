package configcheck

import (
	"fmt"
	"strconv"
)

// Severity says what a finding means for the deployment.
type Severity string

const (
	// Error findings make entries unusable or refuse requests that should be served.
	Error Severity = "error"
	// Warning findings have no effect or one that is probably not intended.
	Warning Severity = "warning"
)

// Finding is one fault of an entry.
type Finding struct {
	Severity Severity `json:"severity"`
	// Entry names the entry, for example `route "checkout"`.
	Entry   string `json:"entry"`
	Message string `json:"message"`
}

func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Entry, f.Message) }

// entryName names an entry of a configuration in findings and differences.
func entryName(kind, name string) string { return kind + " " + strconv.Quote(name) }

// findings collects the findings of one check.
type findings []Finding

func (f *findings) add(severity Severity, entry, format string, args ...any) {
	*f = append(*f, Finding{Severity: severity, Entry: entry, Message: fmt.Sprintf(format, args...)})
}

// errorIf adds an error if bad is true.
func (f *findings) errorIf(bad bool, entry, format string, args ...any) {
	if bad {
		f.add(Error, entry, format, args...)
	}
}

// warnIf adds a warning if bad is true.
func (f *findings) warnIf(bad bool, entry, format string, args ...any) {
	if bad {
		f.add(Warning, entry, format, args...)
	}
}
