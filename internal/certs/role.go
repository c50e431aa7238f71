// Package certs makes and checks the certificates of the connections between
// acacialink's own processes. A certificate names its process in a URI, as
// acacialink://entry/NAME or acacialink://agent/ENDPOINT, and both ends of a
// connection check the other's role. Only TLS 1.3 is spoken.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// Role is what a process is to the others.
type Role string

// The roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// scheme is the scheme of the URI that names a process.
const scheme = "acacialink"

// ErrNoIdentity means that a certificate names no process.
var ErrNoIdentity = errors.New("certificate names no acacialink process")

// PeerRole returns the role and the name of the process at the other end of a
// connection that ServerTLS or ClientTLS accepted.
func PeerRole(state tls.ConnectionState) (Role, string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", "", errors.Wrap(ErrNoIdentity, "no peer certificate")
	}
	return identity(state.PeerCertificates[0])
}

// identity returns the process that a certificate names. One that names
// several is refused.
func identity(c *x509.Certificate) (Role, string, error) {
	if len(c.URIs) != 1 {
		return "", "", errors.Wrapf(ErrNoIdentity, "%d URIs", len(c.URIs))
	}
	u := c.URIs[0]
	role := Role(u.Host)
	name := strings.TrimPrefix(u.Path, "/")
	known := role == RoleEntry || role == RoleAgent
	if u.Scheme != scheme || !known || name == "" || strings.Contains(name, "/") {
		return "", "", errors.Wrapf(ErrNoIdentity, "URI %q", u)
	}
	return role, name, nil
}

// identityURI returns the URI that names a process.
func identityURI(role Role, name string) *url.URL {
	return &url.URL{Scheme: scheme, Host: string(role), Path: "/" + name}
}
