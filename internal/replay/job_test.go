package replay

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/exit"
)

// newTestJob returns a job against a fake deployment that streams with the given
// inter-token latency. Keys, rates and outcomes are read from files.
func newTestJob(t *testing.T, gap time.Duration) *Job {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	transport := &fakeTransport{respond: func(int, *http.Request) (*http.Response, error) {
		return streamResponse(repeatGap(3, gap), streamEnd), nil
	}}
	return &Job{
		TracePath: write("trace.csv", "TIMESTAMP,ContextTokens,GeneratedTokens\n0,10,3\n1,10,3\n"),
		KeysPath: write("keys.hujson", `{"w": "key-w"} // A comment.
`),
		ResourcesPath: write("resources.hujson", `[{"kind": "workspace", "name": "w", "spec": {"rate_tokens": 5, "burst_tokens": 20}}]`),
		OutcomesPath:  write("outcomes.hujson", `{"outcomes": [{"metric": "chats.goodput", "min": 1}]}`),
		OutputDir:     filepath.Join(dir, "results"),
		Options:       Options{Entries: []string{"http://e1"}, Workspace: "w", Model: "m", Client: &http.Client{Transport: transport}},
	}
}

func TestJobExitCodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out strings.Builder
		good := newTestJob(t, 10*time.Millisecond)
		code, err := good.Run(t.Context(), &out)
		is.NoErr(err)
		is.Equal(code, exit.OK)
		is.True(strings.Contains(out.String(), "holds"))
		files, err := filepath.Glob(filepath.Join(good.OutputDir, "trace.csv-0*"))
		is.NoErr(err)
		is.Equal(len(files), 4)
		loaded, err := LoadResult(filepath.Join(good.OutputDir, "trace.csv-0.json"))
		is.NoErr(err)
		is.Equal(loaded.Workspaces["w"].WithinRate, 1) // 13 tokens each, with a burst of 20 and 5 per second.
		is.True(loaded.Checks[0].Holds)

		slow := newTestJob(t, 60*time.Millisecond)
		code, err = slow.Run(t.Context(), &out)
		is.NoErr(err)
		is.Equal(code, exit.Failed)
		out.Reset()
		path := []string{filepath.Join(good.OutputDir, "trace.csv-0.json")}
		is.NoErr(CompareFiles(&out, path, []string{filepath.Join(slow.OutputDir, "trace.csv-0.json")}))
		is.True(strings.Contains(out.String(), "chats.goodput"))
	})
}

// TestJobRejectsInvalidFiles makes each input file invalid in turn. No request may
// be sent, and the error must not contain an API key.
func TestJobRejectsInvalidFiles(t *testing.T) {
	for name, path := range map[string]func(*Job) string{
		"trace":     func(j *Job) string { return j.TracePath },
		"keys":      func(j *Job) string { return j.KeysPath },
		"resources": func(j *Job) string { return j.ResourcesPath },
		"outcomes":  func(j *Job) string { return j.OutcomesPath },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := newTestJob(t, 0)
			is.NoErr(os.WriteFile(path(j), []byte(`{"w": 5, "x": "sk-secret", "outcomes": 3}`), 0o600))
			code, err := j.Run(t.Context(), &strings.Builder{})
			is.Equal(code, exit.Settings)
			is.True(err != nil)
			is.True(name != "keys" || !strings.Contains(err.Error(), "sk-secret"))
			is.Equal(len(j.Options.Client.Transport.(*fakeTransport).requests), 0)
		})
	}
}
