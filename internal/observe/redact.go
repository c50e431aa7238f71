package observe

import (
	"regexp"
	"strings"
)

// Redacted stands in place of a secret.
const Redacted = "[redacted]"

// secretNames are parts of field names whose values are never shown.
var secretNames = []string{
	"authorization", "api_key", "api-key", "apikey", "bearer", "token_sha256",
	"secret", "password", "cookie", "private_key", "sha256",
}

// secretExact are whole field names whose values are never shown.
var secretExact = map[string]bool{"key": true, "keys": true, "token": true, "access_token": true}

// bearerText finds credentials within a text: a bearer header or a query.
var bearerText = regexp.MustCompile(`(?i)(bearer\s+|\b(?:api[_-]?key|access_token|token|key)=)[^\s"&,;]+`)

// SecretName says whether a field with the name holds a secret.
func SecretName(name string) bool {
	name = strings.ToLower(name)
	if secretExact[name] {
		return true
	}
	for _, part := range secretNames {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// RedactText returns s without the credentials that stand in it as a bearer
// header or in a query.
func RedactText(s string) string {
	if !mayHoldSecret(s) {
		return s
	}
	return bearerText.ReplaceAllString(s, "${1}"+Redacted)
}

// bearer is the scheme name that comes before a key in a header.
const bearer = "bearer"

// mayHoldSecret is a cheap test that spares most texts the regular expression.
func mayHoldSecret(s string) bool {
	if strings.IndexByte(s, '=') >= 0 {
		return true
	}
	for i := range len(s) - len(bearer) {
		if s[i]|0x20 == 'b' && strings.EqualFold(s[i:i+len(bearer)], bearer) {
			return true
		}
	}
	return false
}

// redactJSON replaces secrets within a decoded JSON value.
func redactJSON(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			if SecretName(name) {
				v[name] = redactSecret(member)
			} else {
				v[name] = redactJSON(member)
			}
		}
		return v
	case []any:
		for i := range v {
			v[i] = redactJSON(v[i])
		}
		return v
	case string:
		return RedactText(v)
	default:
		return v
	}
}

// redactSecret hides texts under a secret name; counts and flags stay, since
// "keys": 5 tells an operator something and nobody a key.
func redactSecret(v any) any {
	switch v := v.(type) {
	case float64, bool, nil:
		return v
	default:
		return Redacted
	}
}
