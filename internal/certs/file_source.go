package certs

import (
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// minRecheckInterval is the minimum time between two checks of the files.
const minRecheckInterval = time.Second

// FileSource reads certificates from files and reloads them when they change. If
// the new files are unreadable or invalid, the previous certificates stay in use.
// It is safe for concurrent use.
type FileSource struct {
	files Files
	log   *slog.Logger

	mu          sync.Mutex // guards the fields below
	credentials *Credentials
	versions    [3]fileVersion
	lastCheck   time.Time
	reloadErr   error
}

// fileVersion identifies a version of a file by its modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

// NewFileSource reads the files. It returns an error if they are unreadable
// or invalid. Later reloads and their failures are logged.
func NewFileSource(files Files, log *slog.Logger) (*FileSource, error) {
	s := &FileSource{files: files, log: log}
	s.reloadIfChanged(time.Now())
	if s.reloadErr != nil {
		return nil, s.reloadErr
	}
	return s, nil
}

// Current implements Source. It checks the files for changes at most once per
// minRecheckInterval and never returns an error.
func (s *FileSource) Current() (*Credentials, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastCheck) >= minRecheckInterval {
		before, failedBefore := s.versions, s.reloadErr
		s.reloadIfChanged(now)
		s.logReload(before, failedBefore)
	}
	return s.credentials, nil
}

// logReload logs a reload, and a failure that differs from the one before. The caller
// must hold s.mu.
func (s *FileSource) logReload(before [3]fileVersion, failedBefore error) {
	switch {
	case s.reloadErr != nil && (failedBefore == nil || failedBefore.Error() != s.reloadErr.Error()):
		s.log.Warn("reloading certificates failed", "cert", s.files.Cert, "error", s.reloadErr.Error())
	case s.reloadErr == nil && (failedBefore != nil || s.versions != before):
		s.log.Info("certificates reloaded", "cert", s.files.Cert)
	}
}

// ReloadError returns the error of the last attempt to reload the files, or nil if
// the current files are in use.
func (s *FileSource) ReloadError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reloadErr
}

// reloadIfChanged reads the files if they have changed or the last attempt
// failed. The caller must hold s.mu or have exclusive access to s.
func (s *FileSource) reloadIfChanged(now time.Time) {
	s.lastCheck = now
	versions, err := s.statFiles()
	if err != nil {
		s.reloadErr = err
		return
	}
	if versions == s.versions && s.reloadErr == nil {
		return
	}
	credentials, err := s.readFiles()
	s.reloadErr = err
	if err != nil {
		return
	}
	s.credentials = credentials
	s.versions = versions
}

func (s *FileSource) statFiles() ([3]fileVersion, error) {
	var versions [3]fileVersion
	for i, path := range []string{s.files.CA, s.files.Cert, s.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return versions, errors.Wrap(err, "read certificates")
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return versions, nil
}

func (s *FileSource) readFiles() (*Credentials, error) {
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
	return NewCredentials(ca, KeyPair{CertPEM: cert, KeyPEM: key})
}
