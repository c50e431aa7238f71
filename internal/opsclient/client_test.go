package opsclient_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/opsapi"
	"github.com/acacialink/acacialink/internal/opsclient"
	"github.com/acacialink/acacialink/internal/snapshot"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// tokenHash is the SHA-256 of "token".
const tokenHash = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"

const sampleResources = `// A customer and its key.
{"items": [
  {"kind": "workspace", "name": "guild", "spec": {"rate_tokens": 5, "burst_tokens": 9}},
  {"kind": "key", "name": "guild-1", "spec": {"workspace": "guild"}}, // Its key is made by the host.
]}`

func newTestOptions(t *testing.T) (opsclient.Options, *kv.Store) {
	store := kv.New(kv.Options{})
	replica := snapshot.NewReplica(snapshot.ReplicaOptions{
		Host: "host-1", Log: snapshot.NewLog(store, nil),
		Directory: func() []snapshot.Peer { return []snapshot.Peer{{Name: "host-1"}} },
	})
	server := httptest.NewServer(opsapi.New(opsapi.Options{
		Configuration: replica, Operators: []opsapi.Operator{{Name: "ada", TokenSHA256: tokenHash}},
	}))
	t.Cleanup(server.Close)
	// The first address refuses connections.
	return opsclient.Options{Addresses: []string{"http://127.0.0.1:1", server.URL}, Token: "token", Wait: 10 * time.Second}, store
}

func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "resources.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestApplyGetDelete(t *testing.T) {
	is := is.New(t)
	opts, _ := newTestOptions(t)
	var out bytes.Buffer
	is.NoErr(opsclient.Apply(t.Context(), opts, writeFile(t, sampleResources), &out))
	is.True(strings.Contains(out.String(), "workspace/guild created at revision 1"))
	is.True(strings.Contains(out.String(), "shown this once): ak_"))
	out.Reset()
	is.NoErr(opsclient.Get(t.Context(), opts, "workspace", "", &out))
	is.True(strings.Contains(out.String(), "InForce=true"))
	out.Reset()
	is.NoErr(opsclient.Delete(t.Context(), opts, "key", "guild-1", 0, &out))
	is.True(strings.Contains(out.String(), "key/guild-1 revoked"))
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	opts, store := newTestOptions(t)
	var out bytes.Buffer
	apply := func(text string) exit.Code {
		return exit.CodeOf(opsclient.Apply(t.Context(), opts, writeFile(t, text), &out))
	}
	is.Equal(apply(`{"kind": `), exit.Settings)
	is.Equal(apply(`{"name": "x"}`), exit.Settings)
	is.Equal(apply(`[{"kind":"workspace","name":"w","spec":{}}]`), exit.Settings)
	is.Equal(apply(`[{"kind":"workspace","name":"w","revision":7,"spec":{"rate_tokens":5,"burst_tokens":9}}]`), exit.Conflict)
	is.Equal(exit.CodeOf(opsclient.Get(t.Context(), opts, "pool", "none", &out)), exit.NotFound)
	store.SetDown(true)
	is.Equal(apply(sampleResources), exit.Unreachable)
	opts.Token = "wrong"
	is.Equal(apply(sampleResources), exit.Refused)
	opts.Addresses = opts.Addresses[:1]
	is.Equal(apply(sampleResources), exit.Unreachable)
}

func TestWatchPrintsChanges(t *testing.T) {
	is := is.New(t)
	opts, _ := newTestOptions(t)
	is.NoErr(opsclient.Apply(t.Context(), opts, writeFile(t, sampleResources), &bytes.Buffer{}))
	ctx, cancel := context.WithCancel(t.Context())
	out := &firstWrite{onWrite: cancel}
	is.NoErr(opsclient.Watch(ctx, opts, "workspace", 0, out))
	is.True(strings.HasPrefix(out.text, "1 workspace/guild is {"))
}

// firstWrite is a writer that records its first write and then calls onWrite.
type firstWrite struct {
	text    string
	onWrite func()
}

func (w *firstWrite) Write(p []byte) (int, error) {
	if w.text == "" {
		w.text = string(p)
		w.onWrite()
	}
	return len(p), nil
}
