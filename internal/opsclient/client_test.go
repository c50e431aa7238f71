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

const sample = `// A customer and its key.
{"items": [
  {"kind": "workspace", "name": "guild", "spec": {"rate_tokens": 5, "burst_tokens": 9}},
  {"kind": "key", "name": "guild-1", "spec": {"workspace": "guild"}}, // Its key is made by the host.
]}`

func newOptions(t *testing.T) (opsclient.Options, *kv.Store) {
	store := kv.New(kv.Options{})
	holder := snapshot.NewHolder(snapshot.HolderOptions{
		Host: "host-1", Log: snapshot.NewLog(store, nil),
		Directory: func() []snapshot.Peer { return []snapshot.Peer{{Name: "host-1"}} },
	})
	server := httptest.NewServer(opsapi.New(opsapi.Options{
		Configuration: holder, Operators: []opsapi.Operator{{Name: "ada", TokenSHA256: tokenHash}},
	}))
	t.Cleanup(server.Close)
	// The first address takes no connections.
	return opsclient.Options{Addresses: []string{"http://127.0.0.1:1", server.URL}, Token: "token", Wait: 10 * time.Second}, store
}

func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "resources.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestApplyGetAndDelete(t *testing.T) {
	is := is.New(t)
	o, _ := newOptions(t)
	var out bytes.Buffer
	is.NoErr(opsclient.Apply(t.Context(), o, writeFile(t, sample), &out))
	is.True(strings.Contains(out.String(), "workspace/guild created at revision 1"))
	is.True(strings.Contains(out.String(), "shown this once): ak_"))
	out.Reset()
	is.NoErr(opsclient.Get(t.Context(), o, "workspace", "", &out))
	is.True(strings.Contains(out.String(), "InForce=true"))
	out.Reset()
	is.NoErr(opsclient.Delete(t.Context(), o, "key", "guild-1", 0, &out))
	is.True(strings.Contains(out.String(), "key/guild-1 revoked"))
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	o, store := newOptions(t)
	var out bytes.Buffer
	apply := func(text string) exit.Code {
		return exit.CodeOf(opsclient.Apply(t.Context(), o, writeFile(t, text), &out))
	}
	is.Equal(apply(`{"kind": `), exit.Settings)
	is.Equal(apply(`{"name": "x"}`), exit.Settings)
	is.Equal(apply(`[{"kind":"workspace","name":"w","spec":{}}]`), exit.Settings)
	is.Equal(apply(`[{"kind":"workspace","name":"w","revision":7,"spec":{"rate_tokens":5,"burst_tokens":9}}]`), exit.Conflict)
	is.Equal(exit.CodeOf(opsclient.Get(t.Context(), o, "pool", "none", &out)), exit.NotFound)
	store.SetDown(true)
	is.Equal(apply(sample), exit.Unreachable)
	o.Token = "wrong"
	is.Equal(apply(sample), exit.Refused)
	o.Addresses = o.Addresses[:1]
	is.Equal(apply(sample), exit.Unreachable)
}

func TestWatchPrintsChanges(t *testing.T) {
	is := is.New(t)
	o, _ := newOptions(t)
	is.NoErr(opsclient.Apply(t.Context(), o, writeFile(t, sample), &bytes.Buffer{}))
	ctx, cancel := context.WithCancel(t.Context())
	out := &firstLine{seen: cancel}
	is.NoErr(opsclient.Watch(ctx, o, "workspace", 0, out))
	is.True(strings.HasPrefix(out.text, "1 workspace/guild is {"))
}

// firstLine calls seen at the first write.
type firstLine struct {
	text string
	seen func()
}

func (f *firstLine) Write(p []byte) (int, error) {
	if f.text == "" {
		f.text = string(p)
		f.seen()
	}
	return len(p), nil
}
