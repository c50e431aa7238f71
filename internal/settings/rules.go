package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// namePattern matches valid names of hosts, domains, regions and operators.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// checkValue applies the rules in check tags to a decoded value, recursively.
func (d *decoder) checkValue(path string, v reflect.Value, tag string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			d.checkValue(joinPath(path, fieldName(field)), v.Field(i), field.Tag.Get("check"))
		}
	case reflect.Slice:
		d.checkList(path, v, tag)
	default:
		d.checkScalar(path, v, tag)
	}
}

// checkList applies the rules of a list field to each element. The rule
// "required" demands at least one element.
func (d *decoder) checkList(path string, v reflect.Value, tag string) {
	if v.Len() == 0 && hasRule(tag, "required") {
		d.addProblem(path, "is required and must not be empty")
	}
	for i := range v.Len() {
		d.checkValue(fmt.Sprintf("%s[%d]", path, i), v.Index(i), tag)
	}
}

// checkScalar applies the rules of a field to its value.
func (d *decoder) checkScalar(path string, v reflect.Value, tag string) {
	if d.hasProblem(path) {
		return
	}
	if v.IsZero() && hasRule(tag, "required") {
		d.addProblem(path, "is required")
		return
	}
	for rule := range strings.SplitSeq(tag, ",") {
		name, argument, _ := strings.Cut(rule, "=")
		if message := applyRule(name, argument, v); message != "" {
			d.addProblem(path, "%s", message)
		}
	}
}

// hasProblem reports whether a problem was already recorded for the field itself.
func (d *decoder) hasProblem(path string) bool { return d.reported[path] }

// hasRule reports whether a check tag contains a rule that takes no argument.
func hasRule(tag, rule string) bool {
	for candidate := range strings.SplitSeq(tag, ",") {
		if candidate == rule {
			return true
		}
	}
	return false
}

// applyRule returns the message for a violation of one rule by v, or "" if v
// satisfies the rule.
func applyRule(name, argument string, v reflect.Value) string {
	switch name {
	case "name":
		return checkName(v.String())
	case "address":
		return checkAddress(v.String())
	case "url":
		return checkURL(v.String())
	case "sha256":
		return checkSHA256(v.String())
	case "oneof":
		return checkOneOf(v.String(), strings.Split(argument, "|"))
	case "min":
		return checkMin(v, argument)
	case "max":
		return checkMax(v, argument)
	default:
		return ""
	}
}

func checkName(s string) string {
	if namePattern.MatchString(s) {
		return ""
	}
	return fmt.Sprintf("%q is no name: use at most 63 of a-z, 0-9, dot, dash and underscore", truncate(s))
}

func checkAddress(s string) string {
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Sprintf("%q is no address: give an IP number and a port, such as \"10.0.0.1:8443\"; host names are not resolved", truncate(s))
	}
	if address.Port() == 0 {
		return "the port must not be zero"
	}
	return ""
}

func checkURL(s string) string {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Sprintf("%q is no URL: give http:// or https:// with a host", truncate(s))
	}
	if u.User != nil {
		return "must not hold a user or password"
	}
	if u.RawQuery != "" || u.Fragment != "" {
		return "must not hold a query or a fragment"
	}
	return ""
}

func checkSHA256(s string) string {
	sum, err := hex.DecodeString(s)
	if err != nil || len(sum) != 32 || strings.ToLower(s) != s {
		return "must be a SHA-256 in 64 lower-case hex digits"
	}
	return ""
}

func checkOneOf(s string, allowed []string) string {
	for _, candidate := range allowed {
		if s == candidate {
			return ""
		}
	}
	return fmt.Sprintf("%q must be one of: %s", truncate(s), strings.Join(allowed, ", "))
}

func checkMin(v reflect.Value, bound string) string {
	if v.Int() >= parseBound(bound) {
		return ""
	}
	return fmt.Sprintf("%v is below the least value %s", v.Interface(), bound)
}

func checkMax(v reflect.Value, bound string) string {
	if v.Int() <= parseBound(bound) {
		return ""
	}
	return fmt.Sprintf("%v is above the greatest value %s", v.Interface(), bound)
}

// parseBound parses the argument of a min or max rule: an integer or a duration.
// It panics on any other value, since check tags are constants.
func parseBound(s string) int64 {
	if n, err := strconv.ParseInt(s, 10, 64); err == nil {
		return n
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		panic("settings: invalid bound in check tag: " + s)
	}
	return int64(d)
}
