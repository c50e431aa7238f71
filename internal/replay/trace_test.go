package replay

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/examples"
	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/opsclient"
)

func TestReadCSVPublishedTrace(t *testing.T) {
	is := is.New(t)
	trace, err := ReadCSV(strings.NewReader("TIMESTAMP,ContextTokens,GeneratedTokens\n" +
		"2023-11-16 18:17:03.9799600,4808,10\n2023-11-16 18:17:04.0319600,3180,8\n"))
	is.NoErr(err)
	is.Equal(len(trace.Requests), 2)
	is.Equal(trace.Requests[0].Offset, time.Duration(0))
	is.Equal(trace.Requests[1], Request{Offset: 52 * time.Millisecond, PromptTokens: 3180, OutputTokens: 8})
}

func TestReadCSVReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := ReadCSV(strings.NewReader("TIMESTAMP,ContextTokens,GeneratedTokens,Priority,Prefix\n" +
		"0,1,1,urgent,\nyesterday,1,1,,\n1,-1,many,,\n1,5,5,,p:6\n1,2\n"))
	is.True(err != nil)
	for _, want := range []string{
		`line 2: priority "urgent"`, `line 3: timestamp "yesterday"`, `line 4: contexttokens "-1"`,
		`line 4: generatedtokens "many"`, `line 5: prefix "p:6"`, `line 6: 2 fields`,
	} {
		is.True(strings.Contains(err.Error(), want))
	}
	for _, bad := range []string{"", "TIMESTAMP,ContextTokens\n0,1\n", "TIMESTAMP,ContextTokens,GeneratedTokens\n0,1,1\n2023-11-16 18:17:03,1,1\n"} {
		_, err := ReadCSV(strings.NewReader(bad))
		is.True(err != nil)
	}
}

func FuzzReadCSV(f *testing.F) {
	f.Add([]byte("TIMESTAMP,ContextTokens,GeneratedTokens,Prefix\n1.5,4808,10,p:3\n"))
	f.Add([]byte("# seed x\n# event 1e99 a b\nTIMESTAMP,ContextTokens,GeneratedTokens\n9999-12-31T23:59:59Z,1,1\n0001-01-01T00:00:00Z,1,1\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		trace, err := ReadCSV(bytes.NewReader(source))
		if err != nil {
			return
		}
		for i := range trace.Requests {
			if offset := trace.Requests[i].Offset; offset < 0 || i > 0 && offset < trace.Requests[i-1].Offset {
				t.Fatalf("request %d is due at %v", i, offset)
			}
		}
	})
}

// sampleRates returns the rates of the workspaces in sample resources.
func sampleRates(t *testing.T, source []byte) map[string]Rate {
	list, err := opsclient.ParseResources(bytes.Clone(source))
	if err != nil {
		t.Fatal(err)
	}
	rates, err := WorkspaceRates(list)
	if err != nil {
		t.Fatal(err)
	}
	return rates
}

// TestGenerateScenarios checks that each scenario is deterministic for a seed,
// survives a round trip through a file, uses only workspaces of its site and stays
// within their sample rates, except for tenant-surge, which exceeds one on purpose.
func TestGenerateScenarios(t *testing.T) {
	sources := map[string][]byte{"festival": examples.FestivalResources, "consortium": examples.ConsortiumResources}
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			is := is.New(t)
			rates := sampleRates(t, sources[s.Site])
			trace, err := Generate(s.Name, 7, 5*time.Minute, 1)
			is.NoErr(err)
			again, err := Generate(s.Name, 7, 5*time.Minute, 1)
			is.NoErr(err)
			is.Equal(trace, again)
			other, err := Generate(s.Name, 8, 5*time.Minute, 1)
			is.NoErr(err)
			is.True(len(other.Requests) != len(trace.Requests) || other.Requests[0] != trace.Requests[0])

			var file bytes.Buffer
			is.NoErr(WriteCSV(&file, trace))
			read, err := ReadCSV(&file)
			is.NoErr(err)
			is.Equal(len(read.Requests), len(trace.Requests))
			is.Equal(read.Events, trace.Events)
			is.Equal(read.Requests[99].Prefix, trace.Requests[99].Prefix)

			exceeded := map[string]int{}
			within := withinRates(trace, Options{Speed: 1, Rates: rates})
			for i, ok := range within {
				w := trace.Requests[i].Workspace
				_, found := rates[w]
				is.True(found)
				if !ok {
					exceeded[w]++
				}
			}
			if s.Name == "tenant-surge" {
				is.True(exceeded["schools"] > len(trace.Requests)/10)
				delete(exceeded, "schools")
			}
			is.Equal(len(exceeded), 0)
		})
	}
	_, err := Generate("no-such", 1, time.Minute, 1)
	is.New(t).True(err != nil)
}

// TestPromptTextSharesPrefix checks the token count of prompts, and that prompts
// have equal prefix hashes only if they share a prefix segment.
func TestPromptTextSharesPrefix(t *testing.T) {
	is := is.New(t)
	r := Request{PromptTokens: 5300, Prefix: "dossier-1:5000"}
	a, b := r.promptText(1, 1), r.promptText(1, 2)
	is.Equal(backing.Tokens(a), 5300)
	is.True(a != b)
	is.Equal(backing.PrefixHashes("m", a)[4], backing.PrefixHashes("m", b)[4])
	r.Prefix = "dossier-2:5000"
	is.True(backing.PrefixHashes("m", a)[0] != backing.PrefixHashes("m", r.promptText(1, 1))[0])
}
