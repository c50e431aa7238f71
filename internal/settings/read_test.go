package settings

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// unread are the settings that describe a process to its operators and that no
// code acts on yet. None of them is a bound.
var unread = map[string]bool{
	"entry .Region":                true,
	"entry Platform.Weights":       true,
	"agent Endpoint.ChecksFencing": true,
}

// TestEverySettingIsRead looks for a reader of each setting in the code of
// the processes: a bound that nothing reads holds nothing.
func TestEverySettingIsRead(t *testing.T) {
	code := processCode(t)
	for kind, value := range map[string]any{"entry": DefaultEntry(), "agent": DefaultAgent()} {
		for _, name := range selectors(reflect.TypeOf(value), "") {
			if read := strings.Contains(code[kind], name); read == unread[kind+" "+name] {
				t.Errorf("%s: %s: read is %t", kind, name, read)
			}
		}
	}
}

// processCode returns the code of package node by the kind of process.
func processCode(t *testing.T) map[string]string {
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

// selectors returns how code reaches each setting of a group, as Group.Field.
func selectors(group reflect.Type, prefix string) []string {
	var names []string
	for field := range group.Fields() {
		switch {
		case field.Type.Kind() == reflect.Struct && field.Type != reflect.TypeFor[TLS]():
			names = append(names, selectors(field.Type, field.Name)...)
		case field.Name != "Kind" && field.Name != "TLS":
			names = append(names, prefix+"."+field.Name)
		}
	}
	return names
}
