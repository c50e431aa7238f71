package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// Source provides the certificates in use. Implementations are safe for
// concurrent use.
type Source interface {
	// Current returns the process's certificate and the trusted authorities.
	Current() (*Credentials, error)
}

// Credentials contains the certificates that a process needs for a TLS handshake.
type Credentials struct {
	Certificate *tls.Certificate
	Authorities *x509.CertPool
}

// NewCredentials parses the certificates and the key from PEM. It returns an error
// wrapping ErrNoIdentity if the certificate does not identify a process.
func NewCredentials(caPEM []byte, p KeyPair) (*Credentials, error) {
	certificate, err := tls.X509KeyPair(p.CertPEM, p.KeyPEM)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("parse authorities: no certificate in the file")
	}
	if _, _, err := certificateIdentity(certificate.Leaf); err != nil {
		return nil, err
	}
	return &Credentials{Certificate: &certificate, Authorities: authorities}, nil
}

// Current implements Source with fixed certificates.
func (c *Credentials) Current() (*Credentials, error) { return c, nil }
