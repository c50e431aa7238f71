package certs

import (
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func issueCredentials(t *testing.T, a *Authority, role Role, name string) *Credentials {
	t.Helper()
	p, err := a.Issue(role, name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewCredentials(a.CertPEM(), p)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func newTestAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// runHandshake performs a TLS handshake over loopback. It returns the connection
// state of the server and the errors of both ends.
func runHandshake(t *testing.T, server, client *tls.Config) (state tls.ConnectionState, serverErr, clientErr error) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	clientConn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer clientConn.Close()
	serverConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer serverConn.Close()
	serverTLS, clientTLS := tls.Server(serverConn, server), tls.Client(clientConn, client)
	done := make(chan error, 1)
	go func() {
		err := serverTLS.HandshakeContext(t.Context())
		if err != nil {
			serverConn.Close()
		}
		done <- err
	}()
	clientErr = clientTLS.HandshakeContext(t.Context())
	if clientErr != nil {
		clientConn.Close()
	}
	serverErr = <-done
	return serverTLS.ConnectionState(), serverErr, clientErr
}

func TestHandshakeIdentifiesPeer(t *testing.T) {
	is := is.New(t)
	a := newTestAuthority(t)
	agent, entry := issueCredentials(t, a, RoleAgent, "engine-1"), issueCredentials(t, a, RoleEntry, "e1")
	state, serverErr, clientErr := runHandshake(t, ServerTLS(agent, RoleEntry), ClientTLS(entry, RoleAgent, "engine-1"))
	is.NoErr(serverErr)
	is.NoErr(clientErr)
	role, name, err := PeerRole(state)
	is.NoErr(err)
	is.Equal(role, RoleEntry)
	is.Equal(name, "e1")
	is.Equal(state.Version, uint16(tls.VersionTLS13))
}

func TestHandshakeRejectsWrongPeers(t *testing.T) {
	a, other := newTestAuthority(t), newTestAuthority(t)
	agent, entry := issueCredentials(t, a, RoleAgent, "engine-1"), issueCredentials(t, a, RoleEntry, "e1")
	foreign := issueCredentials(t, other, RoleEntry, "e1")
	noCert := ClientTLS(entry, RoleAgent, "")
	noCert.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &tls.Certificate{}, nil
	}
	tls12 := ClientTLS(entry, RoleAgent, "")
	tls12.MinVersion, tls12.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	for _, c := range []struct {
		name           string
		server, client *tls.Config
		wantErr        error
	}{
		{"agent calls agent", ServerTLS(agent, RoleEntry), ClientTLS(agent, RoleAgent, ""), ErrWrongPeer},
		{"other authority", ServerTLS(agent, RoleEntry), ClientTLS(foreign, RoleAgent, ""), ErrUntrusted},
		{"other endpoint", ServerTLS(agent, RoleEntry), ClientTLS(entry, RoleAgent, "engine-2"), ErrWrongPeer},
		{"entry poses as agent", ServerTLS(entry, RoleEntry), ClientTLS(entry, RoleAgent, "engine-1"), ErrWrongPeer},
		{"no certificate", ServerTLS(agent, RoleEntry), noCert, nil},
		{"tls 1.2", ServerTLS(agent, RoleEntry), tls12, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, serverErr, clientErr := runHandshake(t, c.server, c.client)
			is.True(serverErr != nil || clientErr != nil)
			if c.wantErr != nil {
				is.True(errors.Is(serverErr, c.wantErr) || errors.Is(clientErr, c.wantErr))
			}
		})
	}
}

// TestFileSourceReloadsFiles replaces the files with those of a new authority.
// Peers of the old authority must then be rejected. A file that cannot be parsed
// must leave the last valid certificates in use.
func TestFileSourceReloadsFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, second := newTestAuthority(t), newTestAuthority(t)
	pair, err := first.Issue(RoleEntry, "e1")
	is.NoErr(err)
	files, err := first.WriteFiles(dir, "e1", pair)
	is.NoErr(err)
	info, err := os.Stat(files.Key)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	var log strings.Builder
	source, err := NewFileSource(files, slog.New(slog.NewTextHandler(&log, nil)))
	is.NoErr(err)
	before, _ := source.Current()

	pair, err = second.Issue(RoleEntry, "e1")
	is.NoErr(err)
	_, err = second.WriteFiles(dir, "e1", pair)
	is.NoErr(err)
	is.NoErr(os.Chtimes(files.CA, time.Now(), time.Now().Add(time.Minute)))
	source.lastCheck = time.Time{}
	after, _ := source.Current()
	is.True(before != after)
	agent := issueCredentials(t, first, RoleAgent, "engine-1")
	_, serverErr, _ := runHandshake(t, ServerTLS(source, RoleAgent), ClientTLS(agent, RoleEntry, ""))
	is.True(serverErr != nil)

	is.NoErr(os.WriteFile(files.Cert, []byte("broken"), 0o600))
	source.lastCheck = time.Time{}
	current, _ := source.Current()
	is.Equal(current, after)
	is.True(source.ReloadError() != nil)
	source.lastCheck = time.Time{}
	_, _ = source.Current()
	is.Equal(strings.Count(log.String(), "reloading certificates failed"), 1) // once for each cause
	is.Equal(strings.Count(log.String(), "certificates reloaded"), 1)
}
