// Package configcheck checks a configuration before it is sent to a deployment: errors,
// entries that can never match, limits that contradict each other, and differences from the
// version in force. It is pure, and its findings never contain API keys.
package configcheck
