package replay

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestCompareRequiresSameSeeds(t *testing.T) {
	is := is.New(t)
	newResult := func(seed uint64, goodput float64) *Result {
		return &Result{Trace: "test", Seed: seed, Scale: 1, Chats: Group{Goodput: goodput}}
	}
	list, err := Compare([]*Result{newResult(1, 0.5), newResult(2, 0.7)}, []*Result{newResult(2, 0.9), newResult(1, 0.8)})
	is.NoErr(err)
	for _, d := range list {
		if d.Metric == "chats.goodput" {
			is.Equal(d.A, Spread{2, 0.6, 0.5, 0.7})
			is.True(d.Disjoint)
		}
	}
	_, err = Compare([]*Result{newResult(1, 0.5)}, []*Result{newResult(2, 0.9)})
	is.True(err != nil)
	other := newResult(1, 0.5)
	other.Scale = 2
	_, err = Compare([]*Result{newResult(1, 0.5)}, []*Result{other})
	is.True(err != nil)
}

func TestResultSaveTableAndPlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{respond: func(int, *http.Request) (*http.Response, error) {
			return streamResponse(repeatGap(2, 0), streamEnd), nil
		}}
		r := runTrace(t, chatTrace(5, time.Second, 2), transport, func(o *Options) {
			o.DeploymentFigures = func(context.Context) (DeploymentFigures, error) { return DeploymentFigures{RoleChanges: 3}, nil }
		})
		dir := t.TempDir()
		is.NoErr(r.Save(filepath.Join(dir, "r.json")))
		loaded, err := LoadResult(filepath.Join(dir, "r.json"))
		is.NoErr(err)
		is.Equal(loaded.Metrics(), r.Metrics())
		is.Equal(loaded.Metrics()["deployment.role_changes"], 3.0)
		var table strings.Builder
		is.NoErr(r.WriteTable(&table))
		is.True(strings.Contains(table.String(), "worst-served workspace"))
		for name, plot := range map[string]func(string, ...NamedResult) error{
			"g.svg": PlotGoodput, "f.png": PlotFirstToken, "w.svg": PlotWorkspaces,
		} {
			path := filepath.Join(dir, name)
			is.NoErr(plot(path, NamedResult{"A", r}, NamedResult{"B", loaded}))
			content, err := os.ReadFile(path)
			is.NoErr(err)
			is.True(strings.Contains(string(content[:200]), map[bool]string{true: "svg", false: "PNG"}[strings.HasSuffix(name, "svg")]))
		}
		_, err = json.Marshal(r)
		is.NoErr(err)
	})
}
