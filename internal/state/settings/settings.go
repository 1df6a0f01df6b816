// Package settings holds the settings of one instance, as its operator's
// file gives them.
package settings

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Settings configures one instance. Labels and selectors are not here: they
// come from the platform's configuration service.
type Settings struct {
	// Name is the instance's name, unique in the fleet.
	Name string `toml:"name"`
	// FailureDomain is where the instance runs.
	FailureDomain string `toml:"failureDomain"`
	// CallerAddress is where callers connect, as an IP number and a port.
	CallerAddress string `toml:"callerAddress"`
	// PeerAddress is where other instances connect (UDP).
	PeerAddress string `toml:"peerAddress"`
	// OperatorAddress is where operators read status; empty turns it off.
	OperatorAddress string `toml:"operatorAddress"`
	// Platform lists the addresses of the platform's configuration service.
	Platform []string `toml:"platform"`
	// Reading configures how the configuration service is read.
	Reading Reading `toml:"reading"`
	// Interface names the form in which callers, replicas and the platform
	// speak: empty for the own one, or that of an adapter.
	Interface string `toml:"interface"`
	// LocatorAddress is where callers of an adapter ask which instances to
	// use; empty turns it off.
	LocatorAddress string `toml:"locatorAddress"`
	// ReadinessAddress is where the platform of an adapter asks whether the
	// instance is ready; empty turns it off.
	ReadinessAddress string `toml:"readinessAddress"`
	// Process configures what the process takes of its machine.
	Process Process `toml:"process"`
	// Retries bounds the requests that are sent more than once.
	Retries Retries `toml:"retries"`
	// Seeds lists peer addresses to ask when the platform does not answer.
	Seeds []string `toml:"seeds"`
	// Log configures the log output.
	Log Log `toml:"log"`
	// TLS names the files for mutual TLS between instances.
	TLS TLS `toml:"tls"`
	// Stop configures the graceful shutdown.
	Stop Stop `toml:"stop"`
	// Callers configures the interface to callers.
	Callers Callers `toml:"callers"`
	// Peers configures membership.
	Peers Peers `toml:"peers"`
	// Policy names the policies of the query path.
	Policy Policy `toml:"policy"`
}

// Reading configures how the configuration service is read.
type Reading struct {
	// WatchWait is how long one call waits for a change.
	WatchWait Duration `toml:"watchWait"`
	// InForceWithin is the time in which a change must be in force on every
	// instance.
	InForceWithin Duration `toml:"inForceWithin"`
	// ReadersPerFailureDomain is how many instances of a failure domain read
	// for the others.
	ReadersPerFailureDomain int `toml:"readersPerFailureDomain"`
}

// staleShare is the part of InForceWithin after which an instance without news
// reads by itself; the rest is for the call.
const staleShare = 0.83

// StaleAfter returns how long an instance waits for news that the service
// answered a reader before it reads by itself.
func (reading Reading) StaleAfter() time.Duration {
	return time.Duration(staleShare * float64(reading.InForceWithin.Duration))
}

// Process configures what the process takes of its machine.
type Process struct {
	// Cores is how many threads run at once; 0 leaves it to the machine.
	Cores int `toml:"cores"`
	// MemoryBytes is what the process may hold; 0 leaves it unbounded.
	MemoryBytes int64 `toml:"memoryBytes"`
	// CPUShare is the part of each core that the process gets, 0 to 1; 0 stands
	// for all. Instances with more hold more shards.
	CPUShare float64 `toml:"cpuShare"`
}

// CapacityMillicores returns the processor of the process in thousandths of a core.
func (process Process) CapacityMillicores() int {
	share := process.CPUShare
	if share == 0 {
		share = 1
	}
	return int(share * float64(max(process.Cores, 1)) * 1_000)
}

// Retries bounds the requests that all instances together send to an upstream
// beyond the first of each caller's request.
type Retries struct {
	// Ratio is the share of the first requests, 0 to 1.
	Ratio float64 `toml:"ratio"`
	// Slack is how many more there may be however few first requests are sent.
	Slack float64 `toml:"slack"`
	// Window is the time over which both are counted.
	Window Duration `toml:"window"`
}

// Log configures the log output.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `toml:"level"`
	// Parts lists the parts that also log at debug level.
	Parts []string `toml:"parts"`
}

// TLS names the files for mutual TLS between instances. All three or none
// are set; with none, peers are not verified.
type TLS struct {
	// CertFile holds the instance's certificate, in PEM.
	CertFile string `toml:"certFile"`
	// KeyFile holds the certificate's private key, in PEM.
	KeyFile string `toml:"keyFile"`
	// CAFile holds the certificates that sign peers, in PEM.
	CAFile string `toml:"caFile"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	// LeaveTime is how long a leaving instance goes on serving callers that
	// still hold its address; 0 leaves it to the callers' keep time.
	LeaveTime Duration `toml:"leaveTime"`
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout Duration `toml:"drainTimeout"`
}

// Callers configures the interface to callers.
type Callers struct {
	// KeepTime is how long callers keep the list of instances.
	KeepTime Duration `toml:"keepTime"`
	// TargetMargin is what a caller sees of a request's latency beyond the time
	// that the instance spends on it: its connection set-up and both ways.
	TargetMargin Duration `toml:"targetMargin"`
	// KeyLifetime is how long an idempotency key is valid.
	KeyLifetime Duration `toml:"keyLifetime"`
	// MaxKeys bounds the keyed outcomes that the instance remembers.
	MaxKeys int `toml:"maxKeys"`
	// MaxInFlight bounds the requests that the instance serves at once.
	MaxInFlight int `toml:"maxInFlight"`
}

// Peers configures membership.
type Peers struct {
	// ProbeInterval is the time between two probes of one neighbour.
	ProbeInterval Duration `toml:"probeInterval"`
	// ProbeTimeout is how long an acknowledgement may take.
	ProbeTimeout Duration `toml:"probeTimeout"`
	// SuspicionTimeout is how long a suspect may refute.
	SuspicionTimeout Duration `toml:"suspicionTimeout"`
}

// LogParts lists the parts that log; each name is the prefix of its lines.
var LogParts = []string{"control", "platform", "peer", "upstream", "caller", "operator", "process"}

// DefaultPolicySet is the set of policies that serves best.
const DefaultPolicySet = "default"

// PolicySets lists the sets of policies; those other than default are
// baselines to measure against.
var PolicySets = []string{DefaultPolicySet, "direct", "baseline", "randomChoice", "admitAll"}

// Policy names the policies of the query path.
type Policy struct {
	// Set is "default" or the name of a baseline to compare with.
	Set string `toml:"set"`
	// CellWidth is about how many shards of merged scopes one instance holds
	// the connections to; 0 leaves it to their number.
	CellWidth int `toml:"cellWidth"`
}

// Duration is a time.Duration that is written as "98ms" or "5s".
type Duration = api.Duration

// Default returns the settings of an instance whose file leaves them out.
func Default() Settings {
	return Settings{
		Log: Log{Level: "info"},
		Reading: Reading{
			WatchWait:               Duration{Duration: 20 * time.Second},
			InForceWithin:           Duration{Duration: 36 * time.Second},
			ReadersPerFailureDomain: 3,
		},
		Retries: Retries{Ratio: 0.2, Slack: 50, Window: Duration{Duration: 10 * time.Second}},
		Stop:    Stop{DrainTimeout: Duration{Duration: 30 * time.Second}},
		Callers: Callers{
			KeepTime:     Duration{Duration: 5 * time.Second},
			TargetMargin: Duration{Duration: 18 * time.Millisecond},
			KeyLifetime:  Duration{Duration: 10 * time.Minute},
			MaxKeys:      100_000,
			MaxInFlight:  4_096,
		},
		Peers: Peers{
			ProbeInterval:    Duration{Duration: time.Second},
			ProbeTimeout:     Duration{Duration: 400 * time.Millisecond},
			SuspicionTimeout: Duration{Duration: 2 * time.Second},
		},
		Policy: Policy{Set: DefaultPolicySet},
	}
}

// FieldError reports a key of the settings file whose value is not allowed.
type FieldError struct {
	Key     string
	Value   string
	Allowed string
}

// Error names the key, its value and what is allowed.
func (fielderror *FieldError) Error() string {
	return fielderror.Key + " = " + `"` + fielderror.Value + `"; allowed: ` + fielderror.Allowed
}

// Validate checks every field that the file may set.
func (settings Settings) Validate() error {
	checks := []func() error{settings.validateNames, settings.validateAddresses, settings.validateLog, settings.validatePolicy, settings.validateTLS, settings.validateTimes}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (settings Settings) validateNames() error {
	if settings.Name == "" {
		return &FieldError{Key: "name", Allowed: "the instance's name"}
	}
	if settings.FailureDomain == "" {
		return &FieldError{Key: "failureDomain", Allowed: "the name of a failure domain"}
	}
	return nil
}

func (settings Settings) validateAddresses() error {
	addresses := map[string]string{
		"callerAddress": settings.CallerAddress,
		"peerAddress":   settings.PeerAddress,
	}
	optional := map[string]string{
		"operatorAddress":  settings.OperatorAddress,
		"locatorAddress":   settings.LocatorAddress,
		"readinessAddress": settings.ReadinessAddress,
	}
	for key, address := range optional {
		if address != "" {
			addresses[key] = address
		}
	}
	for _, key := range slices.Sorted(maps.Keys(addresses)) {
		address := addresses[key]
		if api.ValidateAddress(key, address) != nil {
			return &FieldError{Key: key, Value: address, Allowed: addressAllowed}
		}
	}
	return settings.validateAddressLists()
}

const addressAllowed = "an IP number and a port, as 127.0.0.1:7000"

func (settings Settings) validateAddressLists() error {
	if len(settings.Platform) == 0 {
		return &FieldError{Key: "platform", Allowed: "at least one address"}
	}
	lists := map[string][]string{"platform": settings.Platform, "seeds": settings.Seeds}
	for key, list := range lists {
		for _, address := range list {
			if api.ValidateAddress(key, address) != nil {
				return &FieldError{Key: key, Value: address, Allowed: addressAllowed}
			}
		}
	}
	return nil
}

func (settings Settings) validateLog() error {
	if err := oneOf("log.level", settings.Log.Level, []string{"debug", "info", "warn", "error"}); err != nil {
		return err
	}
	for _, part := range settings.Log.Parts {
		if err := oneOf("log.parts", part, LogParts); err != nil {
			return err
		}
	}
	return nil
}

func (settings Settings) validatePolicy() error {
	return oneOf("policy.set", settings.Policy.Set, PolicySets)
}

func oneOf(key, value string, allowed []string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return &FieldError{Key: key, Value: value, Allowed: strings.Join(allowed, ", ")}
}

func (settings Settings) validateTLS() error {
	files := []string{settings.TLS.CertFile, settings.TLS.KeyFile, settings.TLS.CAFile}
	set := 0
	for _, file := range files {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != len(files) {
		return &FieldError{Key: "tls", Value: settings.TLS.CertFile, Allowed: "certFile, keyFile and caFile together, or none"}
	}
	return nil
}

func (settings Settings) validateTimes() error {
	type bound struct {
		value, least, most time.Duration
	}
	bounds := map[string]bound{
		"stop.drainTimeout":      {settings.Stop.DrainTimeout.Duration, 0, time.Hour},
		"callers.keepTime":       {settings.Callers.KeepTime.Duration, 100 * time.Millisecond, time.Hour},
		"callers.keyLifetime":    {settings.Callers.KeyLifetime.Duration, time.Second, 24 * time.Hour},
		"callers.targetMargin":   {settings.Callers.TargetMargin.Duration, 0, time.Minute},
		"stop.leaveTime":         {settings.Stop.LeaveTime.Duration, 0, time.Hour},
		"reading.watchWait":      {settings.Reading.WatchWait.Duration, 100 * time.Millisecond, time.Minute},
		"reading.inForceWithin":  {settings.Reading.InForceWithin.Duration, 500 * time.Millisecond, time.Hour},
		"retries.window":         {settings.Retries.Window.Duration, time.Second, time.Minute},
		"peers.probeInterval":    {settings.Peers.ProbeInterval.Duration, 50 * time.Millisecond, time.Minute},
		"peers.probeTimeout":     {settings.Peers.ProbeTimeout.Duration, 10 * time.Millisecond, time.Minute},
		"peers.suspicionTimeout": {settings.Peers.SuspicionTimeout.Duration, 100 * time.Millisecond, time.Minute},
	}
	for key, bound := range bounds {
		if bound.value < bound.least || bound.value > bound.most {
			return &FieldError{Key: key, Value: bound.value.String(), Allowed: bound.least.String() + " to " + bound.most.String()}
		}
	}
	if ratio := settings.Retries.Ratio; !(ratio >= 0 && ratio <= 1) || !(settings.Retries.Slack >= 0) {
		return &FieldError{Key: "retries", Value: "out of range", Allowed: "a ratio of 0 to 1 and a slack of 0 or more"}
	}
	if settings.Policy.CellWidth < 0 {
		return &FieldError{Key: "policy.cellWidth", Value: "less than 0", Allowed: "0 or more"}
	}
	if settings.Process.Cores < 0 || settings.Process.MemoryBytes < 0 || !(settings.Process.CPUShare >= 0 && settings.Process.CPUShare <= 1) {
		return &FieldError{Key: "process", Value: "out of range", Allowed: "0 or more, and a cpuShare of at most 1"}
	}
	counts := map[string]int{"reading.readersPerFailureDomain": settings.Reading.ReadersPerFailureDomain, "callers.maxKeys": settings.Callers.MaxKeys, "callers.maxInFlight": settings.Callers.MaxInFlight}
	for key, count := range counts {
		if count < 1 {
			return &FieldError{Key: key, Value: "less than 1", Allowed: "1 or more"}
		}
	}
	return nil
}
