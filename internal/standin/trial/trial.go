// Package trial runs the whole path in one process: the platform's stand-in,
// both users' replicas and a few instances.
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
	loopback     = "127.0.0.1:0"
	readyPoll    = 10 * time.Millisecond
	readyTimeout = 8 * time.Second
)

// Trial is a running trial.
type Trial struct {
	Platform  *platform.Server
	Fleets    []*deployment.Fleet
	Instances []*instance.Instance
	names     int
	options   Options
}

// Options are the choices of a trial.
type Options struct {
	Plans     []deployment.Plan
	Instances int
	// PolicySet names the policies of the query path.
	PolicySet string
	Loggers   *log.Loggers
	// Change alters the settings of each instance before it starts.
	Change func(settings *settings.Settings)
	// Extra returns more options for the instance of a name.
	Extra func(name string) []instance.Option
}

// Start starts a trial and waits until every instance can serve.
func Start(ctx context.Context, options Options) (*Trial, error) {
	trial := &Trial{options: options}
	if err := trial.start(ctx); err != nil {
		trial.Close()
		return nil, err
	}
	return trial, nil
}

func (trial *Trial) start(ctx context.Context) error {
	server, err := platform.Listen(loopback, platform.NewStore())
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
	for range trial.options.Instances {
		if _, err := trial.Add(); err != nil {
			return err
		}
	}
	return trial.AwaitReady(ctx)
}

// Add starts one more instance and lists it with the platform.
func (trial *Trial) Add() (*instance.Instance, error) {
	trial.names++
	added, err := trial.StartNamed(fmt.Sprintf("entry-%d", trial.names))
	if err != nil {
		return nil, err
	}
	return added, trial.list()
}

// StartNamed starts an instance without listing it with the platform.
func (trial *Trial) StartNamed(name string) (*instance.Instance, error) {
	chosen := settings.Default()
	chosen.Name = name
	domains := trial.options.Plans[0].FailureDomains
	chosen.FailureDomain = domains[trial.names%len(domains)]
	chosen.CallerAddress = loopback
	chosen.PeerAddress = loopback
	chosen.OperatorAddress = loopback
	chosen.PlatformAddresses = []string{trial.Platform.Address}
	chosen.Policy.Set = trial.options.PolicySet
	chosen.Callers.KeepTime.Duration = time.Second
	for _, running := range trial.Instances {
		chosen.Seeds = append(chosen.Seeds, running.PeerAddress)
	}
	if trial.options.Change != nil {
		trial.options.Change(&chosen)
	}
	loggers := trial.options.Loggers
	if loggers == nil {
		loggers = log.Discard()
	}
	options := []instance.Option{instance.WithLoggers(loggers)}
	if trial.options.Extra != nil {
		options = append(options, trial.options.Extra(name)...)
	}
	started, err := instance.Start(chosen, options...)
	if err != nil {
		return nil, err
	}
	trial.Instances = append(trial.Instances, started)
	return started, nil
}

func (trial *Trial) list() error {
	var list api.InstanceList
	for _, running := range trial.Instances {
		list.Instances = append(list.Instances, running.View().Self.Instance)
	}
	return deployment.PutDocument(trial.Platform.Store, api.InstancesPrefix+api.OwnUpstream, list)
}

// AwaitReady waits until every instance hears all others and has all scopes
// in force.
func (trial *Trial) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return Await(ctx, func() bool {
		for _, running := range trial.Instances {
			if !trial.isReady(running) {
				return false
			}
		}
		return true
	})
}

func (trial *Trial) isReady(running *instance.Instance) bool {
	current := running.View()
	alive := 0
	for _, member := range current.Members {
		if member.State == api.MemberAlive {
			alive++
		}
	}
	return alive == len(trial.Instances) && len(current.Scopes) >= trial.scopes()
}

func (trial *Trial) scopes() int {
	scopes := 0
	for _, fleet := range trial.Fleets {
		scopes += len(fleet.Plan.Scopes)
	}
	return scopes
}

// Await polls until condition holds or ctx ends.
func Await(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(readyPoll)
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

// Caller returns a caller of the instance with the given number.
func (trial *Trial) Caller(number int) wire.InstanceClient {
	return wire.NewInstanceClient(trial.Instances[number].CallerAddress)
}

// Close ends the trial at once.
func (trial *Trial) Close() {
	for _, running := range trial.Instances {
		running.Kill()
	}
	for _, fleet := range trial.Fleets {
		fleet.Close()
	}
	if trial.Platform != nil {
		trial.Platform.Close()
	}
}
