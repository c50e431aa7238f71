// Package certs issues and verifies the certificates of the connections between
// acacialink's own processes. A certificate identifies its process by a URI,
// acacialink://entry/NAME or acacialink://agent/ENDPOINT, and each end of a
// connection verifies the role of the other. Only TLS 1.3 is supported.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// Role is the role of a process in a deployment.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// identityScheme is the scheme of the URI that identifies a process.
const identityScheme = "acacialink"

// ErrNoIdentity is returned for a certificate that does not identify a process.
var ErrNoIdentity = errors.New("certificate does not identify an acacialink process")

// PeerRole returns the role and the name of the peer process. state must be that
// of a connection that ServerTLS or ClientTLS has accepted.
func PeerRole(state tls.ConnectionState) (Role, string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", "", errors.Wrap(ErrNoIdentity, "no peer certificate")
	}
	return certificateIdentity(state.PeerCertificates[0])
}

// certificateIdentity returns the role and the name of the process that a
// certificate identifies. A certificate must contain exactly one URI.
func certificateIdentity(cert *x509.Certificate) (Role, string, error) {
	if len(cert.URIs) != 1 {
		return "", "", errors.Wrapf(ErrNoIdentity, "%d URIs", len(cert.URIs))
	}
	uri := cert.URIs[0]
	role := Role(uri.Host)
	name := strings.TrimPrefix(uri.Path, "/")
	known := role == RoleEntry || role == RoleAgent
	if uri.Scheme != identityScheme || !known || name == "" || strings.Contains(name, "/") {
		return "", "", errors.Wrapf(ErrNoIdentity, "URI %q", uri)
	}
	return role, name, nil
}

// identityURI returns the URI that identifies a process.
func identityURI(role Role, name string) *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(role), Path: "/" + name}
}
