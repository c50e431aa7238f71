package certs

import (
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// recheckAfter is the least time between two looks at the files.
const recheckAfter = time.Second

// FileSource reads certificates from files and reads them again when they
// change. While the new files can't be used it goes on with the old ones.
type FileSource struct {
	files Files

	mu       sync.Mutex // guards all below
	material *Material
	stamps   [3]stamp
	checked  time.Time
	failure  error
}

// stamp tells versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// NewFileSource reads the files once and fails if they can't be used.
func NewFileSource(files Files) (*FileSource, error) {
	s := &FileSource{files: files}
	s.reload(time.Now())
	if s.failure != nil {
		return nil, s.failure
	}
	return s, nil
}

// Current implements Source.
func (s *FileSource) Current() (*Material, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) >= recheckAfter {
		s.reload(now)
	}
	return s.material, nil
}

// Failure returns why the last change of the files is not in use, or nil.
func (s *FileSource) Failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// reload reads the files if they changed. The caller holds mu, or is the only
// one to know s.
func (s *FileSource) reload(now time.Time) {
	s.checked = now
	stamps, err := s.stat()
	if err != nil {
		s.failure = err
		return
	}
	if stamps == s.stamps && s.failure == nil {
		return
	}
	material, err := s.read()
	s.failure = err
	if err != nil {
		return
	}
	s.material = material
	s.stamps = stamps
}

func (s *FileSource) stat() ([3]stamp, error) {
	var stamps [3]stamp
	for i, path := range []string{s.files.CA, s.files.Cert, s.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.Wrap(err, "read certificates")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (s *FileSource) read() (*Material, error) {
	ca, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read authorities")
	}
	cert, err := os.ReadFile(s.files.Cert)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate")
	}
	key, err := os.ReadFile(s.files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "read key")
	}
	return NewMaterial(ca, Pair{CertPEM: cert, KeyPEM: key})
}
