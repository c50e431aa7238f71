package certs

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// KeyPair is the certificate and the private key of a process, in PEM.
type KeyPair struct {
	CertPEM, KeyPEM []byte
}

// Files contains the paths of the certificate files of a process: the trusted
// authorities, its certificate and its private key.
type Files struct {
	CA, Cert, Key string
}

// fileMode restricts access to the owner.
const fileMode = 0o600

// WriteFiles writes the authority's certificate and the pair into dir as
// ca.pem, NAME.pem and NAME.key. Only the owner can read them.
func (a *Authority) WriteFiles(dir, name string, p KeyPair) (Files, error) {
	files := Files{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
	}
	for _, file := range []struct {
		path string
		data []byte
	}{
		{files.CA, a.certPEM},
		{files.Key, p.KeyPEM},
		{files.Cert, p.CertPEM},
	} {
		if err := writeFile(file.path, file.data); err != nil {
			return Files{}, err
		}
	}
	return files, nil
}

// writeFile replaces path atomically, so that readers see either the old or the
// new content.
func writeFile(path string, data []byte) error {
	tempPath := path + ".new"
	if err := os.WriteFile(tempPath, data, fileMode); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	return errors.Wrap(os.Rename(tempPath, path), "write certificate")
}
