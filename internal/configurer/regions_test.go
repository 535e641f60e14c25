package configurer_test

import (
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"radishshed.example/radishshed/internal/configurer"
)

// Guards upgrades: the regions reach a router in the environment, since builds of earlier
// releases refuse a file with the field.
func TestRegionsComeFromTheFileOrElseTheEnvironment(t *testing.T) {
	withField := strings.Replace(earlierTemplate, `"drainNotice"`, `"regions": {"ba-a": "north"}, "drainNotice"`, 1)
	for _, c := range []struct {
		name, text, variable string
		want                 map[string]string // nil if it is refused
	}{
		{"neither", earlierTemplate, "", map[string]string{}},
		{"environment", earlierTemplate, `{"ba-a":"south","ba-b":null}`, map[string]string{"ba-a": "south", "ba-b": ""}},
		{"file", withField, "", map[string]string{"ba-a": "north"}},
		{"both", withField, `{"ba-a":"south"}`, map[string]string{"ba-a": "north"}},
		{"a list", earlierTemplate, `["ba-a"]`, nil},
		{"a region that is no string", earlierTemplate, `{"ba-a":1}`, nil},
	} {
		t.Setenv(configurer.RegionsVariable, c.variable)
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := configurer.Load(path, configurer.Router{})
		if c.want == nil {
			if err == nil || !strings.Contains(err.Error(), "RADISHSHED_REGIONS: ") {
				t.Errorf("%s: %v, want an error that names the variable", c.name, err)
			}
			continue
		}
		if err != nil || !maps.Equal(s.Regions(), c.want) {
			t.Errorf("%s: %v, %v, want %v", c.name, s.Regions(), err, c.want)
		}
	}
}
