// Package configurer loads and validates the settings of a process.
//
// Settings come from a JSON file: environment variables and flags do not override
// them. The only exceptions are GracePeriodVariable and RegionsVariable, which earlier
// builds ignore, while they refuse a file with a field that they do not know. An invalid setting is reported
// in one line that names the file and the field and says how to correct it.
package configurer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/state/archiver"
)

// GracePeriodVariable is the environment variable with the grace period of a process whose
// settings file does not set it.
const GracePeriodVariable = "RADISHSHED_GRACE_PERIOD"

// RegionsVariable is the environment variable with the regions of the data centres, as a JSON
// object, of a process whose settings file does not set them.
const RegionsVariable = "RADISHSHED_REGIONS"

const (
	defaultDrainDelay = 5 * time.Second
	bytesPerMegabit   = 125_000
	minKeyBytes       = 16
	// defaultMaxEventBytes leaves room for hundreds of events without an end in the
	// memory of a small VM.
	defaultMaxEventBytes = 128 << 10
)

type jsonTLS struct {
	CertificateFile string `json:"certificateFile" validate:"required"`
	KeyFile         string `json:"keyFile" validate:"required"`
	AuthorityFile   string `json:"authorityFile" validate:"required"`
}

type jsonRetries struct {
	Ratio   jsonNumber `json:"ratio"`
	Minimum jsonNumber `json:"minimum"`
	Window  string     `json:"window" validate:"required"`
}

type jsonSettings struct {
	VM                string   `json:"vm" validate:"required,hostname_rfc1123"`
	DataCentre        string   `json:"dataCentre" validate:"required"`
	DataCentres       []string `json:"dataCentres" validate:"required,unique"`
	LinkAddress       string   `json:"linkAddress" validate:"required,hostname_port"`
	AdvertisedAddress string   `json:"advertisedAddress,omitempty" validate:"omitempty,hostname_port"`
	OperatorAddress   string   `json:"operatorAddress" validate:"required,hostname_port"`
	CallerAddress     string   `json:"callerAddress,omitempty" validate:"omitempty,hostname_port"`
	ControlAddresses  []string `json:"controlAddresses,omitempty" validate:"required_without=Seeds,unique,dive,hostname_port"`
	// Seeds are addresses of control VMs. Their ports are ignored and replaced by
	// the port of LinkAddress, since fleets with seeds use the same port everywhere.
	Seeds             []string     `json:"seeds,omitempty" validate:"unique,dive,hostname_port"`
	OpenLinks         bool         `json:"openLinks,omitempty"`
	FirstStart        bool         `json:"firstStart,omitempty"`
	ReadyAddress      string       `json:"readyAddress,omitempty" validate:"omitempty,hostname_port"`
	MemoryMB          jsonNumber   `json:"memoryMegabytes,omitempty"`
	LinkMegabits      jsonNumber   `json:"linkMegabits,omitempty"`
	Retries           *jsonRetries `json:"retries,omitempty"`
	DataFolder        string       `json:"dataFolder,omitempty"`
	FleetKeyFile      string       `json:"fleetKeyFile,omitempty" validate:"required_without=OpenLinks,excluded_with=OpenLinks"`
	OperatorKeyHashes []string     `json:"operatorKeyHashes,omitempty"`
	TLS               *jsonTLS     `json:"tls,omitempty"`
	LogLevel          string       `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"`
	DrainNotice       string       `json:"drainNotice,omitempty"`
	GracePeriod       string       `json:"gracePeriod,omitempty"`
	MaxEventKB        jsonNumber   `json:"maxEventKilobytes,omitempty"`
	MaxHeadKB         jsonNumber   `json:"maxHeadKilobytes,omitempty"`
	HeadTimeout       string       `json:"headTimeout,omitempty"`
	MaxConnections    jsonNumber   `json:"maxConnections,omitempty"`
	MinBodyRate       jsonNumber   `json:"minBodyBytesPerSecond,omitempty"`
	// Regions maps data centres to regions.
	Regions map[string]string `json:"regions,omitempty"`
}

// ruleMessages maps each validation rule to the message about a field that violates
// the rule.
var ruleMessages = map[string]string{
	"required":         "is missing: set it",
	"hostname_rfc1123": "is not a host name: use letters, digits and hyphens",
	"hostname_port":    `is not an address: use the form "10.0.0.1:7000"`,
	"unique":           "contains a duplicate: remove it",
	"oneof":            "is not a log level: use debug, info, warn or error",
	"required_without": "is missing: set it or its alternative (controlAddresses or seeds, fleetKeyFile or openLinks)",
	"excluded_with":    "cannot be combined with openLinks: remove one of them",
}

// Role is the kind of process that the settings are for. It only selects which
// settings are required; linker.Role is the role that a process sends to its peers.
// Role is a sealed interface: Router and Control are its only implementations.
type Role interface{ isRole() }

// Router is a process that serves callers.
type Router struct{}

// Control is a process that stores the durable state.
type Control struct{}

func (Router) isRole()  {}
func (Control) isRole() {}

// Load reads and validates the settings for a process of the given role.
func Load(path string, role Role) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Errorf("%s: cannot be read: %v", path, errors.Cause(err))
	}
	w, err := decode(data)
	if err != nil {
		return Settings{}, errors.Wrap(err, path)
	}
	s, err := newSettings(w, role, filepath.Dir(path))
	return s, errors.Wrap(err, path)
}

func decode(data []byte) (jsonSettings, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var w jsonSettings
	if err := decoder.Decode(&w); err != nil {
		if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			return w, errors.Errorf("%s: unknown field: remove it or correct its name", strings.Trim(field, `"`))
		}
		if err := nonFiniteError(data); err != nil {
			return w, err
		}
		return w, errors.Errorf("not valid JSON settings: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return w, errors.New("data after the closing brace: remove it")
	}
	return w, validate(w)
}

func validate(w jsonSettings) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	err := v.Struct(w)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return err
	}
	failure := failures[0]
	_, field, _ := strings.Cut(failure.Namespace(), ".")
	return errors.Errorf("%s: %s", field, ruleMessages[failure.Tag()])
}

func newSettings(w jsonSettings, role Role, folder string) (Settings, error) {
	n, err := parseNumbers(w)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		vm:                 w.VM,
		dataCentre:         w.DataCentre,
		dataCentres:        w.DataCentres,
		linkAddress:        w.LinkAddress,
		advertisedAddress:  w.LinkAddress,
		operatorAddress:    w.OperatorAddress,
		callerAddress:      w.CallerAddress,
		controlAddresses:   w.ControlAddresses,
		logLevel:           w.LogLevel,
		drainDelay:         defaultDrainDelay,
		readyAddress:       w.ReadyAddress,
		firstStart:         w.FirstStart,
		memoryLimitBytes:   int64(n.memoryMB) << 20,
		linkBytesPerSecond: n.linkMegabits * bytesPerMegabit,
		maxEventBytes:      int(n.maxEventKB) << 10,
		maxHeadBytes:       int(n.maxHeadKB) << 10,
		maxConnections:     int(n.maxConnections),
		minBodyRate:        int64(n.minBodyRate),
	}
	if s.maxEventBytes == 0 {
		s.maxEventBytes = defaultMaxEventBytes
	}
	if w.AdvertisedAddress != "" {
		s.advertisedAddress = w.AdvertisedAddress
	}
	if !contains(w.DataCentres, w.DataCentre) {
		return s, errors.Errorf("dataCentre: %q is not in dataCentres %v: correct one of them", w.DataCentre, w.DataCentres)
	}
	if err := s.setRole(w, role, folder); err != nil {
		return s, err
	}
	if w.DrainNotice != "" {
		if s.drainDelay, err = parseDuration(w.DrainNotice); err != nil || s.drainDelay < 0 {
			return s, errors.Errorf(`drainNotice: %q is not a duration: use the form "5s"`, w.DrainNotice)
		}
	}
	if w.HeadTimeout != "" {
		if s.headTimeout, err = time.ParseDuration(w.HeadTimeout); err != nil || s.headTimeout <= 0 {
			return s, errors.Errorf(`headTimeout: %q is not a duration above zero: use the form "10s"`, w.HeadTimeout)
		}
	}
	if err := s.setGracePeriod(w.GracePeriod, os.Getenv(GracePeriodVariable)); err != nil {
		return s, err
	}
	if s.regions, err = parseRegions(w.Regions, os.Getenv(RegionsVariable)); err != nil {
		return s, err
	}
	if err := s.setLinks(w, folder); err != nil {
		return s, err
	}
	if err := s.setRetries(w.Retries, n); err != nil {
		return s, errors.Wrap(err, "retries")
	}
	if s.operatorKeyHashes, err = archiver.ParseHashes(w.OperatorKeyHashes); err != nil {
		return s, errors.Wrap(err, "operatorKeyHashes")
	}
	if w.TLS != nil {
		if err := s.loadTLS(*w.TLS, folder); err != nil {
			return s, errors.Wrap(err, "tls")
		}
	}
	return s, nil
}

// setGracePeriod sets the grace period from the settings file or else from the environment.
func (s *Settings) setGracePeriod(fromFile, fromEnvironment string) error {
	name, text := "gracePeriod", fromFile
	if text == "" {
		name, text = GracePeriodVariable, fromEnvironment
	}
	if text == "" {
		return nil
	}
	var err error
	if s.gracePeriod, err = parseDuration(text); err != nil || s.gracePeriod <= 0 {
		return errors.Errorf(`%s: %q is not a duration above zero: use the form "30s"`, name, text)
	}
	return nil
}

// parseRegions returns the regions of the data centres from the settings file or else from the
// environment.
func parseRegions(fromFile map[string]string, fromEnvironment string) (map[string]string, error) {
	if len(fromFile) > 0 || fromEnvironment == "" {
		return fromFile, nil
	}
	var regions map[string]string
	if err := json.Unmarshal([]byte(fromEnvironment), &regions); err != nil {
		return nil, errors.Errorf(`%s: %q is not a JSON object from data centre to region: use the form {"a": "north"}`,
			RegionsVariable, fromEnvironment)
	}
	return regions, nil
}

// unauthenticatedLinkKey replaces the fleet key if links are not authenticated. The
// key is not a secret.
const unauthenticatedLinkKey = "links without a fleet key"

func (s *Settings) setLinks(w jsonSettings, folder string) error {
	_, port, err := net.SplitHostPort(w.LinkAddress)
	if err != nil {
		return errors.Wrap(err, "linkAddress")
	}
	for _, seed := range w.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return errors.Wrap(err, "seeds")
		}
		s.seedHosts = append(s.seedHosts, host)
		s.controlAddresses = append(s.controlAddresses, net.JoinHostPort(host, port))
	}
	if w.OpenLinks {
		s.unauthenticatedLinks, s.fleetKey = true, []byte(unauthenticatedLinkKey)
		return nil
	}
	s.fleetKey, err = readKey(resolvePath(folder, w.FleetKeyFile))
	return errors.Wrap(err, "fleetKeyFile")
}

func (s *Settings) setRetries(w *jsonRetries, n numbers) error {
	if w == nil {
		return nil
	}
	window, err := parseDuration(w.Window)
	if err != nil || window <= 0 {
		return errors.Errorf(`window: %q is not a duration: use the form "10s"`, w.Window)
	}
	s.retryBudget = RetryBudget{n.retryRatio, int64(n.minimumRetries), window}
	return nil
}

func (s *Settings) setRole(w jsonSettings, role Role, folder string) error {
	switch role.(type) {
	case Router:
		if w.CallerAddress == "" {
			return errors.New("callerAddress: is missing: a router needs one")
		}
	case Control:
		if w.DataFolder == "" {
			return errors.New("dataFolder: is missing: a control VM needs one")
		}
		s.dataFolder = resolvePath(folder, w.DataFolder)
		return checkWritable(s.dataFolder)
	default:
		panic(fmt.Sprintf("configurer: unknown role %T", role))
	}
	return nil
}

// checkWritable creates the folder if necessary and checks that a file can be created
// in it.
func checkWritable(folder string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Errorf("dataFolder: %s cannot be created: %v: choose another or change its owner", folder, err)
	}
	probe, err := os.CreateTemp(folder, "probe")
	if err != nil {
		return errors.Errorf("dataFolder: %s cannot be written: choose another or change its owner", folder)
	}
	_ = probe.Close() // nothing was written
	return errors.Wrap(os.Remove(probe.Name()), "dataFolder")
}

func readKey(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Errorf("%s cannot be read: check its permissions, or create it with `radishshed key`", path)
	}
	key := bytes.TrimSpace(data)
	if len(key) < minKeyBytes {
		return nil, errors.Errorf("%s has fewer than %d characters: create it with `radishshed key`", path, minKeyBytes)
	}
	return key, nil
}

func (s *Settings) loadTLS(w jsonTLS, folder string) error {
	certificate, err := tls.LoadX509KeyPair(resolvePath(folder, w.CertificateFile), resolvePath(folder, w.KeyFile))
	if err != nil {
		return errors.Wrap(err, "certificateFile and keyFile")
	}
	authority, err := os.ReadFile(resolvePath(folder, w.AuthorityFile))
	if err != nil {
		return errors.Wrap(err, "authorityFile")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.Errorf("authorityFile: %s contains no certificate", w.AuthorityFile)
	}
	s.serverTLS = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	s.clientTLS = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return nil
}

// resolvePath resolves a path in the settings relative to the settings file.
func resolvePath(folder, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

func contains(list []string, item string) bool {
	for _, candidate := range list {
		if candidate == item {
			return true
		}
	}
	return false
}
