package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// Errors of handshakes.
var (
	// ErrUntrusted means that the peer's certificate has no trusted signer or
	// is out of date.
	ErrUntrusted = errors.New("peer certificate is not trusted")
	// ErrWrongPeer means that the peer is trusted and is another process than
	// the one expected.
	ErrWrongPeer = errors.New("peer is another process than expected")
)

// ServerTLS returns the configuration of a listener that accepts only
// processes with one of the roles.
func ServerTLS(source Source, allowed ...Role) *tls.Config {
	c := baseConfig(source)
	c.ClientAuth = tls.RequireAnyClientCert
	c.VerifyConnection = func(state tls.ConnectionState) error {
		return verify(source, state, x509.ExtKeyUsageClientAuth, allowed, "")
	}
	return c
}

// ClientTLS returns the configuration of a connection to the process with the
// role and name; an empty name accepts every process of the role.
func ClientTLS(source Source, role Role, name string) *tls.Config {
	c := baseConfig(source)
	// The standard check compares host names, which no process has. The
	// check of the chain, the role and the name is VerifyConnection.
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(state tls.ConnectionState) error {
		return verify(source, state, x509.ExtKeyUsageServerAuth, []Role{role}, name)
	}
	return c
}

// baseConfig gives the certificate of the moment in each handshake.
func baseConfig(source Source) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return current(source)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return current(source)
		},
	}
}

func current(source Source) (*tls.Certificate, error) {
	m, err := source.Current()
	if err != nil {
		return nil, err
	}
	return m.Certificate, nil
}

// verify checks the peer's chain, role and, unless empty, name. It runs on
// resumed connections too.
func verify(source Source, state tls.ConnectionState, usage x509.ExtKeyUsage, allowed []Role, name string) error {
	m, err := source.Current()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrUntrusted, "no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         m.Authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Wrap(ErrUntrusted, err.Error())
	}
	return verifyIdentity(state, allowed, name)
}

func verifyIdentity(state tls.ConnectionState, allowed []Role, name string) error {
	role, peer, err := PeerRole(state)
	if err != nil {
		return err
	}
	for _, one := range allowed {
		if role == one && (name == "" || name == peer) {
			return nil
		}
	}
	return errors.Wrapf(ErrWrongPeer, "%s %s", role, peer)
}
