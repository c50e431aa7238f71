package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Validity of certificates.
const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	pairLifetime      = 365 * 24 * time.Hour
	// clockSkew is how far the clock of a process may be behind the issuer's.
	clockSkew = time.Hour
)

// Authority is the certificate authority of one deployment. It signs the
// certificates of its processes.
type Authority struct {
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	certPEM []byte
}

// NewAuthority creates an authority with a new key and a self-signed
// certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template, err := newTemplate("acacialink authority", authorityLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	return &Authority{cert: cert, key: key, certPEM: encodePEM("CERTIFICATE", der)}, nil
}

// CertPEM returns the authority's certificate, which every process trusts, in
// PEM.
func (a *Authority) CertPEM() []byte { return a.certPEM }

// KeyPEM returns the authority's private key in PEM. It must not be stored on
// any host.
func (a *Authority) KeyPEM() ([]byte, error) { return encodeKey(a.key) }

// Issue creates a key and signs a certificate for the process with the role and
// name. ips are the IP addresses that the process listens on. The name must not
// be empty or contain a slash.
func (a *Authority) Issue(role Role, name string, ips ...net.IP) (KeyPair, error) {
	if name == "" || strings.Contains(name, "/") {
		return KeyPair{}, errors.Errorf("issue certificate: invalid name %q", name)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(string(role)+" "+name, pairLifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{identityURI(role, name)}
	template.IPAddresses = ips
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "sign certificate")
	}
	keyPEM, err := encodeKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{CertPEM: encodePEM("CERTIFICATE", der), KeyPEM: keyPEM}, nil
}

// serialBits is the length of the random serial number of a certificate.
const serialBits = 127

func newTemplate(commonName string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: commonName},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(lifetime),
		BasicConstraintsValid: true,
	}, nil
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode key")
	}
	return encodePEM("PRIVATE KEY", der), nil
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
