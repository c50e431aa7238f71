package audit

import "fmt"

// maxFindings bounds the findings of one checker.
const maxFindings = 20

// report collects what one checker sees.
type report struct {
	examined int
	findings []string
}

func (r *report) saw() { r.examined++ }

func (r *report) add(format string, args ...any) {
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, fmt.Sprintf(format, args...))
	}
}
