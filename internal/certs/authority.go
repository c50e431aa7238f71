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

// Lifetimes of certificates, and how far a clock may be behind the issuer's.
const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	pairLifetime      = 365 * 24 * time.Hour
	clockSkew         = time.Hour
)

// Authority signs the certificates of one deployment's processes.
type Authority struct {
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	certPEM []byte
}

// NewAuthority makes an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make authority key")
	}
	template, err := baseTemplate("acacialink authority", authorityLifetime)
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

// CertPEM returns the authority's certificate, which every process trusts.
func (a *Authority) CertPEM() []byte { return a.certPEM }

// KeyPEM returns the authority's private key, to keep away from all hosts.
func (a *Authority) KeyPEM() ([]byte, error) { return encodeKey(a.key) }

// Issue makes a certificate for the process with the role and name that
// listens on the IP numbers.
func (a *Authority) Issue(role Role, name string, ips ...net.IP) (Pair, error) {
	if name == "" || strings.Contains(name, "/") {
		return Pair{}, errors.Errorf("issue certificate: bad name %q", name)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "make key")
	}
	template, err := baseTemplate(string(role)+" "+name, pairLifetime)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{identityURI(role, name)}
	template.IPAddresses = ips
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "sign certificate")
	}
	keyPEM, err := encodeKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{CertPEM: encodePEM("CERTIFICATE", der), KeyPEM: keyPEM}, nil
}

// serialBits is the length of a certificate's random serial number.
const serialBits = 127

func baseTemplate(commonName string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "make serial number")
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

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
