package settings

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// unusedSettings lists the settings that describe a process to its operators
// and that no code uses yet. None of them is a limit.
var unusedSettings = map[string]bool{
	"entry .Region":                true,
	"entry Platform.Weights":       true,
	"agent Endpoint.ChecksFencing": true,
}

// TestEverySettingIsUsed checks that the source of package node refers to each
// setting. A limit that no code reads would not be enforced.
func TestEverySettingIsUsed(t *testing.T) {
	code := nodeSource(t)
	for kind, value := range map[string]any{"entry": DefaultEntry(), "agent": DefaultAgent()} {
		for _, name := range settingSelectors(reflect.TypeOf(value), "") {
			if read := strings.Contains(code[kind], name); read == unusedSettings[kind+" "+name] {
				t.Errorf("%s: %s: read is %t", kind, name, read)
			}
		}
	}
}

// nodeSource returns the source of package node, keyed by kind of process.
func nodeSource(t *testing.T) map[string]string {
	code := make(map[string]string)
	err := filepath.WalkDir("../node", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		kind := "entry"
		if filepath.Base(path) == "agent.go" {
			kind = "agent"
		}
		code[kind] += string(content)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return code
}

// settingSelectors returns the selector expressions by which code refers to the
// settings of a group, in the form Group.Field.
func settingSelectors(group reflect.Type, prefix string) []string {
	var names []string
	for field := range group.Fields() {
		switch {
		case field.Type.Kind() == reflect.Struct && field.Type != reflect.TypeFor[TLS]():
			names = append(names, settingSelectors(field.Type, field.Name)...)
		case field.Name != "Kind" && field.Name != "TLS":
			names = append(names, prefix+"."+field.Name)
		}
	}
	return names
}
