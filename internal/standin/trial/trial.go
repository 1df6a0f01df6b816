// Package trial runs a whole system in one process for tests: a simulated
// platform, the simulated replicas of the given plans and some instances.
package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/process/instance"
	"github.com/mimosaspring/mimosaspring/internal/process/log"
	"github.com/mimosaspring/mimosaspring/internal/standin/deployment"
	"github.com/mimosaspring/mimosaspring/internal/standin/platform"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

const (
	// loopbackAddress lets the kernel assign a port.
	loopbackAddress = "127.0.0.1:0"
	pollInterval    = 10 * time.Millisecond
	readyTimeout    = 8 * time.Second
)

// Trial is a running system.
type Trial struct {
	Platform  *platform.Server
	Fleets    []*deployment.Fleet
	Instances []*instance.Instance
	// instanceNumber is the number, from 1, of the instance that AddInstance
	// started last.
	instanceNumber int
	options        Options
}

// Options configures a trial.
type Options struct {
	// Plans holds the deployments to run. Instances take their failure domains
	// from the first.
	Plans []deployment.Plan
	// InstanceCount is the number of instances to start.
	InstanceCount int
	// PolicySet names the policies of the query path.
	PolicySet string
	// Loggers is where the instances log; nil discards the logs.
	Loggers *log.Loggers
	// ChangeSettings, if set, changes the settings of each instance before it
	// starts.
	ChangeSettings func(settings *settings.Settings)
	// InstanceOptions, if set, returns more options for the instance of a name.
	InstanceOptions func(name string) []instance.Option
}

// Start starts a trial and waits until every instance is ready, as AwaitReady
// does. On an error it closes what it has started.
func Start(ctx context.Context, options Options) (*Trial, error) {
	trial := &Trial{options: options}
	if err := trial.start(ctx); err != nil {
		trial.Close()
		return nil, err
	}
	return trial, nil
}

func (trial *Trial) start(ctx context.Context) error {
	server, err := platform.Listen(loopbackAddress, platform.NewStore())
	if err != nil {
		return err
	}
	trial.Platform = server
	for _, plan := range trial.options.Plans {
		fleet, err := deployment.Start(plan)
		if err != nil {
			return err
		}
		trial.Fleets = append(trial.Fleets, fleet)
		if err := fleet.Publish(server.Store); err != nil {
			return err
		}
	}
	for range trial.options.InstanceCount {
		if _, err := trial.AddInstance(); err != nil {
			return err
		}
	}
	return trial.AwaitReady(ctx)
}

// AddInstance starts one more instance and adds it to the platform's instance
// list. It does not wait until the instance is ready.
func (trial *Trial) AddInstance() (*instance.Instance, error) {
	trial.instanceNumber++
	newInstance, err := trial.StartUnlisted(fmt.Sprintf("entry-%d", trial.instanceNumber))
	if err != nil {
		return nil, err
	}
	return newInstance, trial.publishInstances()
}

// StartUnlisted starts an instance without adding it to the platform's instance
// list. The next AddInstance adds it to the list too. The running instances are its
// seeds.
func (trial *Trial) StartUnlisted(name string) (*instance.Instance, error) {
	settings := settings.Default()
	settings.Name = name
	failureDomains := trial.options.Plans[0].FailureDomains
	settings.FailureDomain = failureDomains[trial.instanceNumber%len(failureDomains)]
	settings.CallerAddress = loopbackAddress
	settings.PeerAddress = loopbackAddress
	settings.OperatorAddress = loopbackAddress
	settings.PlatformAddresses = []string{trial.Platform.Address}
	settings.Policy.Set = trial.options.PolicySet
	settings.Callers.KeepTime.Duration = time.Second
	for _, instance := range trial.Instances {
		settings.Seeds = append(settings.Seeds, instance.PeerAddress)
	}
	settings.Retries.IsFirstStart = true
	if trial.options.ChangeSettings != nil {
		trial.options.ChangeSettings(&settings)
	}
	loggers := trial.options.Loggers
	if loggers == nil {
		loggers = log.Discard()
	}
	options := []instance.Option{instance.WithLoggers(loggers)}
	if trial.options.InstanceOptions != nil {
		options = append(options, trial.options.InstanceOptions(name)...)
	}
	newInstance, err := instance.Start(settings, options...)
	if err != nil {
		return nil, err
	}
	trial.Instances = append(trial.Instances, newInstance)
	return newInstance, nil
}

// publishInstances replaces the platform's list of instances by all instances of
// the trial.
func (trial *Trial) publishInstances() error {
	var list api.InstanceList
	for _, instance := range trial.Instances {
		list.Instances = append(list.Instances, instance.View().Self.Instance)
	}
	return deployment.PutDocument(trial.Platform.Store, api.InstancesPrefix+api.OwnUpstream, list)
}

// AwaitReady waits until every instance is configured, regards all instances as alive
// and has the scopes of all plans in force. It returns an error after readyTimeout or if ctx
// ends first.
func (trial *Trial) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return AwaitCondition(ctx, func() bool {
		for _, instance := range trial.Instances {
			if !trial.isReady(instance) {
				return false
			}
		}
		return true
	})
}

func (trial *Trial) isReady(instance *instance.Instance) bool {
	view := instance.View()
	aliveMembers := 0
	for _, member := range view.Members {
		if member.State == api.MemberAlive {
			aliveMembers++
		}
	}
	return view.UnreadyReason() == "" && aliveMembers == len(trial.Instances) && len(view.Scopes) >= trial.scopeCount()
}

// scopeCount returns the number of scopes of all plans.
func (trial *Trial) scopeCount() int {
	count := 0
	for _, fleet := range trial.Fleets {
		count += len(fleet.Plan.Scopes)
	}
	return count
}

// AwaitCondition polls condition until it returns true. It returns an error if
// ctx ends first.
func AwaitCondition(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "await condition")
		}
	}
	return nil
}

// Client returns a client of the instance with the given index in Instances.
func (trial *Trial) Client(index int) wire.InstanceClient {
	return wire.NewInstanceClient(trial.Instances[index].CallerAddress)
}

// Close stops the instances, the replicas and the platform without waiting for
// running requests.
func (trial *Trial) Close() {
	for _, instance := range trial.Instances {
		instance.Kill()
	}
	for _, fleet := range trial.Fleets {
		fleet.Close()
	}
	if trial.Platform != nil {
		trial.Platform.Close()
	}
}
