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

// nameForm is the form of names of hosts, domains, regions and operators.
var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// check applies the rules in the fields' check tags to the decoded value.
func (d *decoder) check(path string, v reflect.Value, tag string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			d.check(join(path, fieldName(field)), v.Field(i), field.Tag.Get("check"))
		}
	case reflect.Slice:
		d.checkList(path, v, tag)
	default:
		d.checkScalar(path, v, tag)
	}
}

// checkList applies the rules of a list to each of its elements.
func (d *decoder) checkList(path string, v reflect.Value, tag string) {
	if v.Len() == 0 && hasRule(tag, "required") {
		d.report(path, "is required and must not be empty")
	}
	for i := range v.Len() {
		d.check(fmt.Sprintf("%s[%d]", path, i), v.Index(i), tag)
	}
}

// checkScalar applies the rules of one value.
func (d *decoder) checkScalar(path string, v reflect.Value, tag string) {
	if d.broken(path) {
		return
	}
	if v.IsZero() && hasRule(tag, "required") {
		d.report(path, "is required")
		return
	}
	for rule := range strings.SplitSeq(tag, ",") {
		name, argument, _ := strings.Cut(rule, "=")
		if message := applyRule(name, argument, v); message != "" {
			d.report(path, "%s", message)
		}
	}
}

// broken says whether the field's own value was already reported.
func (d *decoder) broken(path string) bool { return d.reported[path] }

// hasRule says whether a check tag holds a rule without an argument.
func hasRule(tag, rule string) bool {
	for one := range strings.SplitSeq(tag, ",") {
		if one == rule {
			return true
		}
	}
	return false
}

// applyRule returns what is wrong with v by one rule, or nothing.
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
	if nameForm.MatchString(s) {
		return ""
	}
	return fmt.Sprintf("%q is no name: use at most 63 of a-z, 0-9, dot, dash and underscore", shorten(s))
}

func checkAddress(s string) string {
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Sprintf("%q is no address: give an IP number and a port, such as \"10.0.0.1:8443\"; host names are not resolved", shorten(s))
	}
	if address.Port() == 0 {
		return "the port must not be zero"
	}
	return ""
}

func checkURL(s string) string {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Sprintf("%q is no URL: give http:// or https:// with a host", shorten(s))
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
	for _, one := range allowed {
		if s == one {
			return ""
		}
	}
	return fmt.Sprintf("%q must be one of: %s", shorten(s), strings.Join(allowed, ", "))
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

// parseBound parses a bound of a check tag: a number or a duration.
func parseBound(s string) int64 {
	if n, err := strconv.ParseInt(s, 10, 64); err == nil {
		return n
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		panic("settings: bad bound in a check tag: " + s)
	}
	return int64(d)
}
