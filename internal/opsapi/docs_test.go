package opsapi_test

import (
	"encoding/json"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/opsapi"
	"github.com/acacialink/acacialink/internal/resource"
)

var jsonBlock = regexp.MustCompile("(?s)```json\n(.*?)```")

// TestDocumentedResourcesAreAccepted checks that the examples in
// docs/resources.md cover each kind and are accepted as one change.
func TestDocumentedResourcesAreAccepted(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/resources.md")
	is.NoErr(err)
	var list []resource.Resource
	kinds := map[resource.Kind]bool{}
	for _, block := range jsonBlock.FindAllSubmatch(page, -1) {
		d := json.NewDecoder(strings.NewReader(string(block[1])))
		for d.More() {
			var r resource.Resource
			is.NoErr(d.Decode(&r))
			list = append(list, r)
			kinds[r.Kind] = true
		}
	}
	is.Equal(len(kinds), len(resource.Kinds()))
	body, err := json.Marshal(list)
	is.NoErr(err)
	fx := newFixture(t)
	var response opsapi.ChangeResponse
	fx.expect(http.StatusOK, http.MethodPost, "/v1/apply", string(body), &response)
	is.Equal(len(response.Results), len(list))
}
