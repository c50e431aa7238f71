package certs

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func material(t *testing.T, a *Authority, role Role, name string) *Material {
	t.Helper()
	p, err := a.Issue(role, name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewMaterial(a.CertPEM(), p)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func authority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// handshake returns the errors of both ends and what the server saw.
func handshake(t *testing.T, server, client *tls.Config) (seen tls.ConnectionState, serverErr, clientErr error) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	right, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer right.Close()
	left, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer left.Close()
	s, c := tls.Server(left, server), tls.Client(right, client)
	done := make(chan error, 1)
	go func() {
		err := s.HandshakeContext(t.Context())
		if err != nil {
			left.Close()
		}
		done <- err
	}()
	clientErr = c.HandshakeContext(t.Context())
	if clientErr != nil {
		right.Close()
	}
	serverErr = <-done
	return s.ConnectionState(), serverErr, clientErr
}

func TestPeersKnowEachOther(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	agent, entry := material(t, a, RoleAgent, "engine-1"), material(t, a, RoleEntry, "e1")
	seen, serverErr, clientErr := handshake(t, ServerTLS(agent, RoleEntry), ClientTLS(entry, RoleAgent, "engine-1"))
	is.NoErr(serverErr)
	is.NoErr(clientErr)
	role, name, err := PeerRole(seen)
	is.NoErr(err)
	is.Equal(role, RoleEntry)
	is.Equal(name, "e1")
	is.Equal(seen.Version, uint16(tls.VersionTLS13))
}

func TestWrongPeersAreRefused(t *testing.T) {
	a, other := authority(t), authority(t)
	agent, entry := material(t, a, RoleAgent, "engine-1"), material(t, a, RoleEntry, "e1")
	foreign := material(t, other, RoleEntry, "e1")
	noCert := ClientTLS(entry, RoleAgent, "")
	noCert.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &tls.Certificate{}, nil
	}
	old := ClientTLS(entry, RoleAgent, "")
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	for _, c := range []struct {
		name           string
		server, client *tls.Config
		want           error
	}{
		{"agent calls agent", ServerTLS(agent, RoleEntry), ClientTLS(agent, RoleAgent, ""), ErrWrongPeer},
		{"other authority", ServerTLS(agent, RoleEntry), ClientTLS(foreign, RoleAgent, ""), ErrUntrusted},
		{"other endpoint", ServerTLS(agent, RoleEntry), ClientTLS(entry, RoleAgent, "engine-2"), ErrWrongPeer},
		{"entry poses as agent", ServerTLS(entry, RoleEntry), ClientTLS(entry, RoleAgent, "engine-1"), ErrWrongPeer},
		{"no certificate", ServerTLS(agent, RoleEntry), noCert, nil},
		{"tls 1.2", ServerTLS(agent, RoleEntry), old, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, serverErr, clientErr := handshake(t, c.server, c.client)
			is.True(serverErr != nil || clientErr != nil)
			if c.want != nil {
				is.True(errors.Is(serverErr, c.want) || errors.Is(clientErr, c.want))
			}
		})
	}
}

// TestReload replaces the files by ones of a new authority: old peers are
// refused from then on; a broken file leaves the last good one in use.
func TestReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, second := authority(t), authority(t)
	pair, err := first.Issue(RoleEntry, "e1")
	is.NoErr(err)
	files, err := first.WriteFiles(dir, "e1", pair)
	is.NoErr(err)
	info, err := os.Stat(files.Key)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	source, err := NewFileSource(files)
	is.NoErr(err)
	before, _ := source.Current()

	pair, err = second.Issue(RoleEntry, "e1")
	is.NoErr(err)
	_, err = second.WriteFiles(dir, "e1", pair)
	is.NoErr(err)
	is.NoErr(os.Chtimes(files.CA, time.Now(), time.Now().Add(time.Minute)))
	source.checked = time.Time{}
	after, _ := source.Current()
	is.True(before != after)
	agent := material(t, first, RoleAgent, "engine-1")
	_, serverErr, _ := handshake(t, ServerTLS(source, RoleAgent), ClientTLS(agent, RoleEntry, ""))
	is.True(serverErr != nil)

	is.NoErr(os.WriteFile(files.Cert, []byte("broken"), 0o600))
	source.checked = time.Time{}
	kept, _ := source.Current()
	is.Equal(kept, after)
	is.True(source.Failure() != nil)
}
