// Package settings defines the settings of one instance, which its operator
// gives in a file.
package settings

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Settings configures one instance. It does not include labels and selectors,
// which come from the platform's configuration service.
type Settings struct {
	// Name is the instance's name; it is unique among all instances.
	Name string `toml:"name"`
	// FailureDomain names the failure domain in which the instance runs.
	FailureDomain string `toml:"failureDomain"`
	// CallerAddress is where callers connect, as an IP address and a port.
	CallerAddress string `toml:"callerAddress"`
	// PeerAddress is where other instances connect (UDP).
	PeerAddress string `toml:"peerAddress"`
	// OperatorAddress serves status and metrics to operators; empty disables it.
	OperatorAddress string `toml:"operatorAddress"`
	// PlatformAddresses lists the addresses of the platform's configuration service.
	PlatformAddresses []string `toml:"platform"`
	// Reading configures how the configuration service is read.
	Reading Reading `toml:"reading"`
	// Interface names the adapter whose interface callers, replicas and the
	// platform use; empty means the system's own interface.
	Interface string `toml:"interface"`
	// LocatorAddress is where callers of an adapter ask which instances to use;
	// empty disables it.
	LocatorAddress string `toml:"locatorAddress"`
	// ReadinessAddress is where the platform of an adapter asks whether the
	// instance is ready; empty disables it.
	ReadinessAddress string `toml:"readinessAddress"`
	// Process limits the resources of the process.
	Process Process `toml:"process"`
	// Retries bounds the requests that are sent more than once.
	Retries Retries `toml:"retries"`
	// Seeds lists the peer addresses to contact if the platform does not answer.
	Seeds []string `toml:"seeds"`
	// Log configures the log output.
	Log Log `toml:"log"`
	// TLS names the files for mutual TLS between instances.
	TLS TLS `toml:"tls"`
	// Shutdown configures the graceful shutdown.
	Shutdown Shutdown `toml:"stop"`
	// Callers configures the interface to callers.
	Callers Callers `toml:"callers"`
	// Peers configures the membership protocol.
	Peers Peers `toml:"peers"`
	// Policy names the policies of the query path.
	Policy Policy `toml:"policy"`
	// Schedule configures the decisions under load that the instances make together.
	Schedule Schedule `toml:"schedule"`
}

// Reading configures how the configuration service is read.
type Reading struct {
	// WatchWait is how long one watch request waits for a change.
	WatchWait Duration `toml:"watchWait"`
	// InForceWithin is the time within which a change has to be in force on every
	// instance.
	InForceWithin Duration `toml:"inForceWithin"`
	// ReadersPerFailureDomain is the number of instances in a failure domain that
	// read the service for the others.
	ReadersPerFailureDomain int `toml:"readersPerFailureDomain"`
	// PeerWait is how long after its start an instance that has read the service
	// waits for a peer with newer documents before it serves requests.
	PeerWait Duration `toml:"peerWait"`
}

// staleFraction is the fraction of InForceWithin that StaleAfter returns. The
// rest is left for the instance's own request.
const staleFraction = 0.83

// StaleAfter returns how long an instance that is not a reader relies on the
// readers: if it has not heard for this long that the service answered one of
// them, it reads the service itself.
func (reading Reading) StaleAfter() time.Duration {
	return time.Duration(staleFraction * float64(reading.InForceWithin.Duration))
}

// outageFraction is the fraction of InForceWithin that OutageAfter returns. It leaves
// time for the request of an instance that reads the service after StaleAfter.
const outageFraction = 1.2

// OutageAfter returns for how long no instance may have heard that the service answered
// without it counting as having been unavailable.
func (reading Reading) OutageAfter() time.Duration {
	return time.Duration(outageFraction * float64(reading.InForceWithin.Duration))
}

// lackFraction is the fraction of InForceWithin that LackAfter returns. The rest is
// left for the peers to get the change, to state it in a probe, and for the instance's
// own request.
const lackFraction = 0.3

// LackAfter returns how long an instance that is not a reader waits for a configuration
// that a peer has: if it has lacked it for this long, it reads the service itself.
func (reading Reading) LackAfter() time.Duration {
	return time.Duration(lackFraction * float64(reading.InForceWithin.Duration))
}

// platformMemoryShare is the part of the memory of the process that reading the
// configuration service may take, and minPlatformMemory the least.
const (
	platformMemoryShare = 0.1
	minPlatformMemory   = 8 << 20
	// unlimitedPlatformMemory is the memory if the process has no limit.
	unlimitedPlatformMemory = 64 << 20
)

// PlatformMemory returns the memory that reading the configuration service may take.
func (process Process) PlatformMemory() int64 {
	if process.MemoryBytes == 0 {
		return unlimitedPlatformMemory
	}
	return max(int64(platformMemoryShare*float64(process.MemoryBytes)), minPlatformMemory)
}

// Process limits the resources of the process.
type Process struct {
	// Cores is the number of threads that run Go code concurrently; 0 means the
	// default of the Go runtime.
	Cores int `toml:"cores"`
	// MemoryBytes is the memory that the process may use; 0 means no limit.
	MemoryBytes int64 `toml:"memoryBytes"`
	// CPUShare is the fraction of each core that the process gets, 0 to 1; 0 means
	// whole cores. Instances with more processor time are the home of more shards.
	CPUShare float64 `toml:"cpuShare"`
	// MaxDescriptors is the number of descriptors that the process may have open; 0
	// means the limit that the system sets.
	MaxDescriptors int `toml:"maxDescriptors"`
}

// CapacityMillicores returns the processor time of the process, in thousandths of
// a core. Cores counts as 1 if it is 0.
func (process Process) CapacityMillicores() int {
	share := process.CPUShare
	if share == 0 {
		share = 1
	}
	return int(share * float64(max(process.Cores, 1)) * 1_000)
}

// Retries bounds the retries and hedges that all instances together send to an
// upstream: the requests to replicas beyond the first for each caller's request.
type Retries struct {
	// Ratio is the allowed number of retries per first request, 0 to 1.
	Ratio float64 `toml:"ratio"`
	// Slack is the number of retries that are allowed in addition, however few
	// first requests are sent.
	Slack float64 `toml:"slack"`
	// Window is the time over which first requests and retries are counted.
	Window Duration `toml:"window"`
	// IsFirstStart is set if no earlier process of the instance can have sent retries
	// within Window, as when the whole system starts for the first time. Other processes
	// spend next to nothing in the first Window after their start.
	IsFirstStart bool `toml:"firstStart"`
}

// Log configures the log output.
type Log struct {
	// Level is the least severe level that is logged: "debug", "info", "warn" or
	// "error".
	Level string `toml:"level"`
	// Components lists the components that log at debug level regardless of
	// Level; see LogComponents.
	Components []string `toml:"parts"`
}

// TLS names the files for mutual TLS between instances. Either all three or none
// are set; without them, peers are not authenticated.
type TLS struct {
	// CertFile is the file with the instance's certificate in PEM format.
	CertFile string `toml:"certFile"`
	// KeyFile is the file with the certificate's private key in PEM format.
	KeyFile string `toml:"keyFile"`
	// CAFile is the file with the certificates of the authorities that sign the
	// certificates of peers, in PEM format.
	CAFile string `toml:"caFile"`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// LeaveTime is how long a leaving instance continues to serve callers that
	// still use its address; 0 means Callers.KeepTime.
	LeaveTime Duration `toml:"leaveTime"`
	// DrainTimeout bounds how long the shutdown waits for requests in flight.
	DrainTimeout Duration `toml:"drainTimeout"`
}

// Peers configures the membership protocol.
type Peers struct {
	// ProbeInterval is the time between two probes of the same neighbour.
	ProbeInterval Duration `toml:"probeInterval"`
	// ProbeTimeout is how long to wait for the acknowledgement of a probe.
	ProbeTimeout Duration `toml:"probeTimeout"`
	// SuspicionTimeout is how long a suspected member has to refute the suspicion
	// before it counts as failed.
	SuspicionTimeout Duration `toml:"suspicionTimeout"`
}

// LogComponents lists the components that log. The name of each is its logger's
// name.
var LogComponents = []string{"control", "platform", "peer", "upstream", "caller", "operator", "process"}

// DefaultPolicySet is the name of the set of policies for production use.
const DefaultPolicySet = "default"

// PolicySets lists the sets of policies. All except the default are baselines
// for comparison in measurements.
var PolicySets = []string{DefaultPolicySet, "direct", "baseline", "randomChoice", "admitAll"}

// Policy names the policies of the query path.
type Policy struct {
	// Set is the name of a set in PolicySets.
	Set string `toml:"set"`
	// ShardsPerHome is the approximate number of shards of merged scopes for which
	// one instance is the home and keeps the connections to their replicas; 0
	// means that it is derived from the number of shards. The file calls it
	// cellWidth.
	ShardsPerHome int `toml:"cellWidth"`
}

// Duration is a time.Duration that is written as text, such as "98ms" or "5s".
type Duration = api.Duration

// Default returns the settings that apply where the file sets none.
func Default() Settings {
	return Settings{
		Log: Log{Level: "info"},
		Reading: Reading{
			WatchWait:               Duration{Duration: 20 * time.Second},
			InForceWithin:           Duration{Duration: 36 * time.Second},
			ReadersPerFailureDomain: 3,
			PeerWait:                Duration{Duration: 100 * time.Millisecond},
		},
		Retries:  Retries{Ratio: 0.2, Slack: 50, Window: Duration{Duration: 10 * time.Second}},
		Shutdown: Shutdown{DrainTimeout: Duration{Duration: 30 * time.Second}},
		Callers:  defaultCallers(),
		Peers: Peers{
			ProbeInterval:    Duration{Duration: time.Second},
			ProbeTimeout:     Duration{Duration: 400 * time.Millisecond},
			SuspicionTimeout: Duration{Duration: 2 * time.Second},
		},
		Policy:   Policy{Set: DefaultPolicySet},
		Schedule: Schedule{ColdOvershoot: 1, FloorTurns: defaultFloorTurns},
	}
}

// FieldError reports that a key of the settings file has a value that is not
// allowed.
type FieldError struct {
	Key     string
	Value   string
	Allowed string
}

// Error returns a message with the key, its value and the allowed values.
func (fielderror *FieldError) Error() string {
	return fielderror.Key + " = " + `"` + fielderror.Value + `"; allowed: ` + fielderror.Allowed
}

// Validate returns a FieldError for the first invalid setting, and nil if all are
// valid.
func (settings Settings) Validate() error {
	checks := []func() error{settings.validateNames, settings.validateAddresses, settings.validateLog, settings.validatePolicy, settings.validateTLS, settings.validateNumbers, settings.Schedule.validate}
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
			return &FieldError{Key: key, Value: address, Allowed: allowedAddress}
		}
	}
	return settings.validateAddressLists()
}

const allowedAddress = "an IP number and a port, as 127.0.0.1:7000"

func (settings Settings) validateAddressLists() error {
	if len(settings.PlatformAddresses) == 0 {
		return &FieldError{Key: "platform", Allowed: "at least one address"}
	}
	lists := map[string][]string{"platform": settings.PlatformAddresses, "seeds": settings.Seeds}
	for key, list := range lists {
		for _, address := range list {
			if api.ValidateAddress(key, address) != nil {
				return &FieldError{Key: key, Value: address, Allowed: allowedAddress}
			}
		}
	}
	return nil
}

func (settings Settings) validateLog() error {
	if err := validateOneOf("log.level", settings.Log.Level, []string{"debug", "info", "warn", "error"}); err != nil {
		return err
	}
	for _, component := range settings.Log.Components {
		if err := validateOneOf("log.parts", component, LogComponents); err != nil {
			return err
		}
	}
	return nil
}

func (settings Settings) validatePolicy() error {
	return validateOneOf("policy.set", settings.Policy.Set, PolicySets)
}

func validateOneOf(key, value string, allowed []string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return &FieldError{Key: key, Value: value, Allowed: strings.Join(allowed, ", ")}
}

func (settings Settings) validateTLS() error {
	files := []string{settings.TLS.CertFile, settings.TLS.KeyFile, settings.TLS.CAFile}
	setCount := 0
	for _, file := range files {
		if file != "" {
			setCount++
		}
	}
	if setCount != 0 && setCount != len(files) {
		return &FieldError{Key: "tls", Value: settings.TLS.CertFile, Allowed: "certFile, keyFile and caFile together, or none"}
	}
	return nil
}

func (settings Settings) validateNumbers() error {
	type durationRange struct {
		value, minimum, maximum time.Duration
	}
	ranges := map[string]durationRange{
		"stop.drainTimeout":      {settings.Shutdown.DrainTimeout.Duration, 0, time.Hour},
		"callers.keepTime":       {settings.Callers.KeepTime.Duration, 100 * time.Millisecond, time.Hour},
		"callers.keyLifetime":    {settings.Callers.KeyLifetime.Duration, time.Second, 24 * time.Hour},
		"callers.targetMargin":   {settings.Callers.TargetMargin.Duration, 0, time.Minute},
		"callers.headerTimeout":  {settings.Callers.HeaderTimeout.Duration, time.Second, time.Hour},
		"callers.bodyTimeout":    {settings.Callers.BodyTimeout.Duration, time.Second, time.Hour},
		"callers.idleTimeout":    {settings.Callers.IdleTimeout.Duration, time.Second, 24 * time.Hour},
		"callers.answerTimeout":  {settings.Callers.AnswerTimeout.Duration, time.Second, time.Hour},
		"stop.leaveTime":         {settings.Shutdown.LeaveTime.Duration, 0, time.Hour},
		"reading.watchWait":      {settings.Reading.WatchWait.Duration, 100 * time.Millisecond, time.Minute},
		"reading.inForceWithin":  {settings.Reading.InForceWithin.Duration, 500 * time.Millisecond, time.Hour},
		"retries.window":         {settings.Retries.Window.Duration, time.Second, time.Minute},
		"peers.probeInterval":    {settings.Peers.ProbeInterval.Duration, 50 * time.Millisecond, time.Minute},
		"peers.probeTimeout":     {settings.Peers.ProbeTimeout.Duration, 10 * time.Millisecond, time.Minute},
		"peers.suspicionTimeout": {settings.Peers.SuspicionTimeout.Duration, 100 * time.Millisecond, time.Minute},
	}
	for key, durationrange := range ranges {
		if durationrange.value < durationrange.minimum || durationrange.value > durationrange.maximum {
			return &FieldError{Key: key, Value: durationrange.value.String(), Allowed: durationrange.minimum.String() + " to " + durationrange.maximum.String()}
		}
	}
	if ratio := settings.Retries.Ratio; !(ratio >= 0 && ratio <= 1) || !(settings.Retries.Slack >= 0) {
		return &FieldError{Key: "retries", Value: "out of range", Allowed: "a ratio of 0 to 1 and a slack of 0 or more"}
	}
	if settings.Policy.ShardsPerHome < 0 {
		return &FieldError{Key: "policy.cellWidth", Value: "less than 0", Allowed: "0 or more"}
	}
	if settings.Process.Cores < 0 || settings.Process.MemoryBytes < 0 || !(settings.Process.CPUShare >= 0 && settings.Process.CPUShare <= 1) {
		return &FieldError{Key: "process", Value: "out of range", Allowed: "0 or more, and a cpuShare of at most 1"}
	}
	if err := settings.validateCallers(); err != nil {
		return err
	}
	counts := map[string]int{"callers.maxHeaderBytes": settings.Callers.MaxHeaderBytes, "reading.readersPerFailureDomain": settings.Reading.ReadersPerFailureDomain, "callers.maxKeys": settings.Callers.MaxKeys, "callers.maxInFlight": settings.Callers.MaxInFlight}
	for key, count := range counts {
		if count < 1 {
			return &FieldError{Key: key, Value: "less than 1", Allowed: "1 or more"}
		}
	}
	return nil
}
