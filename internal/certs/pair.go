package certs

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Pair is a process's certificate and private key in PEM.
type Pair struct {
	CertPEM, KeyPEM []byte
}

// Files names the three files that a process reads.
type Files struct {
	CA, Cert, Key string
}

// fileMode lets only the owner read certificates and keys.
const fileMode = 0o600

// WriteFiles writes the authority's certificate and the pair into dir as
// ca.pem, NAME.pem and NAME.key, readable by the owner only.
func (a *Authority) WriteFiles(dir, name string, p Pair) (Files, error) {
	files := Files{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
	}
	for _, one := range []struct {
		path string
		data []byte
	}{
		{files.CA, a.certPEM},
		{files.Key, p.KeyPEM},
		{files.Cert, p.CertPEM},
	} {
		if err := writeFile(one.path, one.data); err != nil {
			return Files{}, err
		}
	}
	return files, nil
}

// writeFile replaces path at once, so that a reader sees the old or the new
// content and never a part.
func writeFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	return errors.Wrap(os.Rename(temporary, path), "write certificate")
}
