package observe

import (
	"regexp"
	"strings"
)

// Redacted replaces a secret in output.
const Redacted = "[redacted]"

// secretNameParts are substrings of the names of fields that hold secrets.
var secretNameParts = []string{
	"authorization", "api_key", "api-key", "apikey", "bearer", "token_sha256",
	"secret", "password", "cookie", "private_key", "sha256",
}

// secretExactNames are the complete names of fields that hold secrets.
var secretExactNames = map[string]bool{"key": true, "keys": true, "token": true, "access_token": true}

// credentialPattern matches credentials in text: a bearer token or a query
// parameter.
var credentialPattern = regexp.MustCompile(`(?i)(bearer\s+|\b(?:api[_-]?key|access_token|token|key)=)[^\s"&,;]+`)

// IsSecretName reports whether a field with the name holds a secret. Case is
// ignored.
func IsSecretName(name string) bool {
	name = strings.ToLower(name)
	if secretExactNames[name] {
		return true
	}
	for _, part := range secretNameParts {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// RedactText returns s with all bearer tokens and credentials in query parameters
// replaced by Redacted.
func RedactText(s string) string {
	if !mayContainCredential(s) {
		return s
	}
	return credentialPattern.ReplaceAllString(s, "${1}"+Redacted)
}

// bearerScheme is the authentication scheme that precedes a token in a header.
const bearerScheme = "bearer"

// mayContainCredential is a cheap check that avoids the regular expression for
// most texts.
func mayContainCredential(s string) bool {
	if strings.IndexByte(s, '=') >= 0 {
		return true
	}
	for i := range len(s) - len(bearerScheme) {
		if s[i]|0x20 == 'b' && strings.EqualFold(s[i:i+len(bearerScheme)], bearerScheme) {
			return true
		}
	}
	return false
}

// redactJSON replaces secrets in a decoded JSON value, in place where possible.
func redactJSON(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			if IsSecretName(name) {
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

// redactSecret redacts the value of a field with a secret name. Numbers, booleans
// and null remain: "keys": 5 is useful to operators and reveals no key.
func redactSecret(v any) any {
	switch v := v.(type) {
	case float64, bool, nil:
		return v
	default:
		return Redacted
	}
}
