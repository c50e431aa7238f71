package audit

import "fmt"

// maxFindings is the maximum number of findings recorded per checker.
const maxFindings = 20

// report collects the findings of one checker.
type report struct {
	examined int
	findings []string
}

func (r *report) countExamined() { r.examined++ }

func (r *report) addFinding(format string, args ...any) {
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, fmt.Sprintf(format, args...))
	}
}
