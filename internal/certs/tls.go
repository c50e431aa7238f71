package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// Errors of handshakes.
var (
	// ErrUntrusted is returned if the peer's certificate is not signed by a
	// trusted authority or is outside its validity period.
	ErrUntrusted = errors.New("peer certificate is not trusted")
	// ErrWrongPeer is returned if the peer's certificate is trusted but
	// identifies a process other than the expected one.
	ErrWrongPeer = errors.New("peer is not the expected process")
)

// ServerTLS returns the TLS configuration of a listener that accepts only
// processes with one of the allowed roles.
func ServerTLS(source Source, allowed ...Role) *tls.Config {
	config := baseConfig(source)
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyPeer(source, state, x509.ExtKeyUsageClientAuth, allowed, "")
	}
	return config
}

// ClientTLS returns the TLS configuration of a connection to the process with the
// role and name. An empty name accepts every process with the role.
func ClientTLS(source Source, role Role, name string) *tls.Config {
	config := baseConfig(source)
	// The standard verification compares host names, which the certificates do
	// not contain. VerifyConnection verifies the chain, the role and the name.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyPeer(source, state, x509.ExtKeyUsageServerAuth, []Role{role}, name)
	}
	return config
}

// baseConfig returns a configuration that uses the current certificate of source
// in each handshake.
func baseConfig(source Source) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return currentCertificate(source)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return currentCertificate(source)
		},
	}
}

func currentCertificate(source Source) (*tls.Certificate, error) {
	m, err := source.Current()
	if err != nil {
		return nil, err
	}
	return m.Certificate, nil
}

// verifyPeer verifies the peer's certificate chain, its role and, if name is not
// empty, its name. It also runs on resumed connections.
func verifyPeer(source Source, state tls.ConnectionState, usage x509.ExtKeyUsage, allowed []Role, name string) error {
	m, err := source.Current()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrUntrusted, "no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
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
	role, peerName, err := PeerRole(state)
	if err != nil {
		return err
	}
	for _, allowedRole := range allowed {
		if role == allowedRole && (name == "" || name == peerName) {
			return nil
		}
	}
	return errors.Wrapf(ErrWrongPeer, "%s %s", role, peerName)
}
