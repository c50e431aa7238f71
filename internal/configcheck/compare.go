package configcheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/acacialink/acacialink/internal/catalog"
)

// Difference is what a configuration changes about one entry of the version in force.
type Difference struct {
	Entry  string `json:"entry"`
	Change string `json:"change"`
}

func (d Difference) String() string { return d.Entry + ": " + d.Change }

// CheckVersion reports a version that hosts cannot tell from the one in force.
func (e *Entries) CheckVersion(inForce *Entries) []Finding {
	var f findings
	f.errorIf(e.Version <= inForce.Version, "configuration", "version %d is not above the version in force, %d", e.Version, inForce.Version)
	return f
}

// DifferencesFrom returns what e adds, removes and changes. Entries with equal names are
// compared; of several with one name the last counts.
func (e *Entries) DifferencesFrom(inForce *Entries) []Difference {
	var out []Difference
	if e.Limits != inForce.Limits {
		out = append(out, Difference{"configuration", "limits " + changedFields(inForce.Limits, e.Limits)})
	}
	out = append(out, compare("route", inForce.Routes, e.Routes, func(r *catalog.Route) string { return r.Name })...)
	out = append(out, compare("service", inForce.Services, e.Services, func(s *catalog.Service) string { return s.Name })...)
	out = append(out, compare("workspace", inForce.Workspaces, e.Workspaces, func(w *catalog.Workspace) string { return w.Name })...)
	return append(out, compareKeys(inForce.keysByWorkspace(), e.keysByWorkspace())...)
}

func compare[T any](kind string, before, after []*T, name func(*T) string) []Difference {
	var out []Difference
	old, current := byName(before, name), byName(after, name)
	for _, n := range sortedNames(old, current) {
		entry := entryName(kind, n)
		switch was, is := old[n], current[n]; {
		case was == nil:
			out = append(out, Difference{entry, "added"})
		case is == nil:
			out = append(out, Difference{entry, "removed"})
		case !reflect.DeepEqual(was, is):
			out = append(out, Difference{entry, changedFields(*was, *is)})
		}
	}
	return out
}

func byName[T any](entries []*T, name func(*T) string) map[string]*T {
	out := make(map[string]*T, len(entries))
	for _, entry := range entries {
		out[name(entry)] = entry
	}
	return out
}

func sortedNames[T any](maps ...map[string]T) []string {
	var names []string
	for _, m := range maps {
		for name := range m {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// changedFields lists the fields of two structs of one type that differ.
func changedFields(before, after any) string {
	var out []string
	old, current := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		was, is := old.Field(i).Interface(), current.Field(i).Interface()
		if !reflect.DeepEqual(was, is) {
			out = append(out, fmt.Sprintf("%s %s -> %s", old.Type().Field(i).Name, formatField(was), formatField(is)))
		}
	}
	return strings.Join(out, ", ")
}

func formatField(value any) string {
	if engine, ok := value.(*catalog.Engine); ok && engine != nil {
		value = *engine
	}
	return fmt.Sprintf("%+v", value)
}

func (e *Entries) keysByWorkspace() map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for i, keys := range e.Keys {
		name := e.Workspaces[i].Name
		if out[name] == nil {
			out[name] = make(map[string]bool)
		}
		for _, key := range keys {
			out[name][key] = true
		}
	}
	return out
}

// compareKeys counts the keys that workspaces gain and lose; the keys are secrets.
func compareKeys(before, after map[string]map[string]bool) []Difference {
	var out []Difference
	for _, name := range sortedNames(before, after) {
		added, removed := countMissing(after[name], before[name]), countMissing(before[name], after[name])
		if added > 0 || removed > 0 {
			out = append(out, Difference{entryName("workspace", name), fmt.Sprintf("keys: %d added, %d removed", added, removed)})
		}
	}
	return out
}

// countMissing returns how many keys of the first set the second one lacks.
func countMissing(keys, other map[string]bool) int {
	missing := 0
	for key := range keys {
		if !other[key] {
			missing++
		}
	}
	return missing
}
