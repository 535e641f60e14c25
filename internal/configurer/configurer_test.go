package configurer_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"radishshed.example/radishshed/internal/configurer"
)

const validSettings = `{"vm": "router-1", "dataCentre": "a", "dataCentres": ["a", "b"], "linkAddress": "127.0.0.1:7001",
	"operatorAddress": "127.0.0.1:7002", "callerAddress": "127.0.0.1:7003", "controlAddresses": ["127.0.0.1:7101"],
	"dataFolder": "data", "fleetKeyFile": "fleet.key"}`

// Verifies that an invalid setting is reported in one line that names the file and
// the field and says how to correct it, before the process listens on any address.
func TestLoadReportsInvalidSettings(t *testing.T) {
	cases := []struct {
		name, old, new string
		role           configurer.Role
		want           string
	}{
		{"unknown field", `"vm"`, `"vmm": 1, "vm"`, configurer.Router{}, "vmm: unknown field: remove it"},
		{"missing address", `"linkAddress": "127.0.0.1:7001",`, ``, configurer.Router{}, "linkAddress: is missing: set it"},
		{"malformed address", `127.0.0.1:7001`, `here`, configurer.Router{}, "linkAddress: is not an address"},
		{"unknown data centre", `"dataCentre": "a"`, `"dataCentre": "x"`, configurer.Router{}, `dataCentre: "x" is not in dataCentres`},
		{"no caller address", `"callerAddress": "127.0.0.1:7003",`, ``, configurer.Router{}, "callerAddress: is missing"},
		{"no data folder", `"dataFolder": "data",`, ``, configurer.Control{}, "dataFolder: is missing"},
		{"unwritable data folder", `"dataFolder": "data"`, `"dataFolder": "fleet.key/data"`, configurer.Control{}, "cannot be created"},
		{"no fleet key", `fleet.key`, `other.key`, configurer.Router{}, "fleetKeyFile: "},
		{"broken JSON", `"vm":`, `"vm"`, configurer.Router{}, "not valid JSON settings"},
		{"bad grace period", `"vm"`, `"gracePeriod": "0s", "vm"`, configurer.Router{}, `gracePeriod: "0s" is not a duration above zero`},
		{"bad head timeout", `"vm"`, `"headTimeout": "0s", "vm"`, configurer.Router{}, `headTimeout: "0s" is not a duration above zero`},
		{"negative limit", `"vm"`, `"maxConnections": -1, "vm"`, configurer.Router{}, "maxConnections: -1 is out of range"},
		{"bad duration", `"vm"`, `"drainNotice": "soon", "vm"`, configurer.Router{}, `drainNotice: "soon" is not a duration`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			path := filepath.Join(folder, "settings.json")
			text := strings.Replace(validSettings, c.old, c.new, 1)
			for file, content := range map[string]string{path: text, filepath.Join(folder, "fleet.key"): "0123456789abcdef"} {
				if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			_, err := configurer.Load(path, c.role)
			if err == nil || !strings.HasPrefix(err.Error(), path+": ") || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("%v, want the file and %q", err, c.want)
			}
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("%q has more than one line", err)
			}
		})
	}
}
