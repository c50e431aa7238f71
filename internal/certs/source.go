package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// Source gives the certificates in use. It is safe for concurrent use.
type Source interface {
	// Current returns the process's certificate and the trusted authorities.
	Current() (*Material, error)
}

// Material is what a process needs for one handshake.
type Material struct {
	Certificate *tls.Certificate
	Authorities *x509.CertPool
}

// NewMaterial parses PEM texts.
func NewMaterial(caPEM []byte, p Pair) (*Material, error) {
	certificate, err := tls.X509KeyPair(p.CertPEM, p.KeyPEM)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("parse authorities: no certificate in the file")
	}
	if _, _, err := identity(certificate.Leaf); err != nil {
		return nil, err
	}
	return &Material{Certificate: &certificate, Authorities: authorities}, nil
}

// Current implements Source for certificates that never change.
func (m *Material) Current() (*Material, error) { return m, nil }
