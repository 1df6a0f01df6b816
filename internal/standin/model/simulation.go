package model

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/query/caller"
	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	schedule "github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/budget"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/state/waitqueue"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Kind describes one kind of query.
type Kind struct {
	Name string
	// Weight is the relative frequency of the kind among the queries.
	Weight float64
	// MeanWork is the mean time that a replica works on its part of a query.
	MeanWork time.Duration
	// WorkSigma is the sigma of a log-normal factor of the work that all parts of a
	// query share.
	WorkSigma float64
	// TargetLatency and Deadline are measured from the start of a query. An
	// answer within TargetLatency has its full value, a later one the share
	// LateValueShare of it. At Deadline the query ends.
	TargetLatency time.Duration
	Deadline      time.Duration
	// Value is the value of a complete answer within TargetLatency, in an
	// arbitrary unit that all kinds share.
	Value          float64
	LateValueShare float64
	MinCoverage    float64
	// Priority is the priority of the kind's scope.
	Priority int
}

// drawWork draws the mean work of the parts of one query.
func (kind Kind) drawWork(random *rand.Rand) time.Duration {
	factor := math.Exp(kind.WorkSigma*random.NormFloat64() - kind.WorkSigma*kind.WorkSigma/2)
	return time.Duration(factor * float64(kind.MeanWork))
}

// Scenario describes a load on a deployment and the faults that happen meanwhile.
type Scenario struct {
	// Seed determines the arrival times, kinds, homes, ranks and work of the queries, and
	// the pauses and noise of the replicas. They are the same for all policies. The phases
	// of a pace and the order of what happens at the same time differ between runs.
	Seed          uint64
	ReplicaConfig ReplicaConfig
	Kinds         []Kind
	// ShardCount is the number of shards; each query covers all of them.
	ShardCount int
	// FailureDomains holds the failure domains. Each has one replica of every
	// shard and one home.
	FailureDomains []string
	// Rate is the mean number of queries a second. It varies as a sine of period
	// RatePeriod, whose amplitude is the share RateAmplitude of Rate.
	Rate          float64
	RateAmplitude float64
	RatePeriod    time.Duration
	// Duration is how long queries are sent.
	Duration time.Duration
	// BudgetLimits bounds the extra requests of all instances together;
	// InstanceCount instances share the limits.
	BudgetLimits  budget.Limits
	InstanceCount int
	MaxAttempts   int
	Faults        []Fault
	// PacesReplicas makes the homes pace replicas that are cold or have recovered.
	PacesReplicas bool
	// ColdShare is the share of each home in the requests to a cold replica; 0 means
	// that they are not bounded.
	ColdShare int
	// NewOrder returns the order of the requests that wait for one replica at one
	// home. The default is the order by rank.
	NewOrder func() waitqueue.Order
}

// Second holds the outcomes of the queries that were sent within one second.
type Second struct {
	Queries       int
	InTimeQueries int
	FailedQueries int
	// PossibleValue is the value if every answer were complete and in time,
	// EarnedValue the value of the answers received.
	PossibleValue float64
	EarnedValue   float64
}

// Result holds the outcomes of a simulation.
type Result struct {
	Seconds []Second
	// FirstRequests counts one request for each shard of each query.
	// ExtraRequests counts the requests that replicas received beyond these.
	FirstRequests int
	ExtraRequests int
	// CrashCount counts the crashes of cold replicas, and MostColdRequests is the most
	// requests that one of them got in a second.
	CrashCount       int
	MostColdRequests int
	// Kinds holds the outcomes by kind.
	Kinds map[string]KindResult
}

// KindResult holds the outcomes of the queries of one kind.
type KindResult struct {
	Queries       int
	InTimeQueries int
	FailedQueries int
}

// InTimeShare returns the share of the queries that were answered in time.
func (kindresult KindResult) InTimeShare() float64 {
	return float64(kindresult.InTimeQueries) / float64(max(kindresult.Queries, 1))
}

// ServedShare returns the share of the queries that were answered.
func (kindresult KindResult) ServedShare() float64 {
	return 1 - float64(kindresult.FailedQueries)/float64(max(kindresult.Queries, 1))
}

// ValueRatio returns the earned share of the possible value in the seconds from
// startSecond (inclusive) to endSecond (exclusive). It returns 1 if no value was
// possible.
func (result *Result) ValueRatio(startSecond, endSecond int) float64 {
	var possibleValue, earnedValue float64
	for _, second := range result.Seconds[startSecond:endSecond] {
		possibleValue += second.PossibleValue
		earnedValue += second.EarnedValue
	}
	if possibleValue == 0 {
		return 1
	}
	return earnedValue / possibleValue
}

// plotWidth is the length of a full bar of Plot, in characters.
const plotWidth = 50

// Plot draws a text bar of the earned value ratio for each second, and a line
// with the totals.
func (result *Result) Plot() string {
	var plot strings.Builder
	for number, second := range result.Seconds {
		ratio := result.ValueRatio(number, number+1)
		bar := strings.Repeat("#", int(math.Round(ratio*plotWidth)))
		fmt.Fprintf(&plot, "%3d s %4d queries %4d failed  %.3f %s\n", number, second.Queries, second.FailedQueries, ratio, bar)
	}
	fmt.Fprintf(&plot, "value ratio %.3f, extra requests %.3f of the first requests\n", result.ValueRatio(0, len(result.Seconds)), float64(result.ExtraRequests)/float64(max(result.FirstRequests, 1)))
	return plot.String()
}

// fleet holds the modelled replicas of a scenario.
type fleet struct {
	scenario  Scenario
	random    *rand.Rand
	startTime time.Time
	// replicas holds the replicas by instance name.
	replicas map[string]*replica
	shards   []view.Shard
}

// newFleet returns the replicas of scenario. Their first pauses are drawn from the
// seed.
func newFleet(scenario Scenario) *fleet {
	random := rand.New(rand.NewPCG(scenario.Seed, 0))
	fleet := &fleet{scenario: scenario, random: random, startTime: time.Now(), replicas: make(map[string]*replica)}
	for shardNumber := range scenario.ShardCount {
		name := fmt.Sprintf("s%02d", shardNumber)
		shard := view.Shard{Name: name, Upstream: api.Upstream{Name: name, Slots: scenario.ReplicaConfig.Slots}}
		for replicaNumber, failureDomain := range scenario.FailureDomains {
			instance := api.Instance{Name: name + "-" + failureDomain, FailureDomain: failureDomain}
			shard.Replicas = append(shard.Replicas, &view.Replica{Instance: instance, Upstream: shard.Upstream})
			noise := scenario.source(noiseStream, uint64(shardNumber), uint64(replicaNumber))
			fleet.replicas[instance.Name] = &replica{
				fleet:         fleet,
				shardNumber:   shardNumber,
				replicaNumber: replicaNumber,
				failureDomain: failureDomain,
				pauseOffset:   time.Duration(random.Int64N(int64(max(scenario.ReplicaConfig.PauseInterval, 1)))),
				noiseOffset:   time.Duration(noise.Int64N(int64(max(scenario.ReplicaConfig.NoiseInterval, 1)))),
				noiseFactors:  scenario.drawNoise(noise),
				slots:         make(chan struct{}, scenario.ReplicaConfig.Slots),
				requestCounts: make(map[string]uint64),
				workFactor:    workFactor(scenario.ReplicaConfig, shardNumber+replicaNumber),
			}
		}
		fleet.shards = append(fleet.shards, shard)
	}
	return fleet
}

// workFactor returns the entry of config.WorkFactors for the replica with the given
// number, or 1 if there is no entry.
func workFactor(config ReplicaConfig, number int) float64 {
	if len(config.WorkFactors) == 0 {
		return 1
	}
	return config.WorkFactors[number%len(config.WorkFactors)]
}

// home is the instance of one failure domain that sends requests to the replicas.
// Each home has its own statistics of the replicas.
type home[C upstream.Choice, H upstream.Hedge, A caller.Admission] struct {
	admission A
	fanout    *upstream.Fanout[C, H, *link, upstream.DirectPlacement]
	shards    []view.Shard
}

func newHome[C upstream.Choice, H upstream.Hedge, A caller.Admission](fleet *fleet, failureDomain string, choice C, hedge H, admission A) *home[C, H, A] {
	elapsed := func() time.Duration { return time.Since(fleet.startTime) }
	instanceCount := func() int { return fleet.scenario.InstanceCount }
	home := &home[C, H, A]{admission: admission, fanout: &upstream.Fanout[C, H, *link, upstream.DirectPlacement]{
		Choice:      choice,
		Hedge:       hedge,
		Links:       &http.Links[*link]{Open: fleet.linkOpener(failureDomain)},
		CurrentView: view.NewPublishedView(),
		Mailbox:     mailbox.New[message.Message](1),
		Budget:      budget.New(fleet.scenario.BudgetLimits, instanceCount, elapsed),
		Metrics:     metrics.New(),
	}}
	for _, shard := range fleet.shards {
		replicas := make([]*view.Replica, len(shard.Replicas))
		for index, replica := range shard.Replicas {
			replicas[index] = &view.Replica{Instance: replica.Instance, Upstream: replica.Upstream, Stats: &view.ReplicaStats{}}
			if fleet.scenario.PacesReplicas {
				replicas[index].Stats.EnablePace(replica.Upstream.Slots, len(fleet.scenario.FailureDomains))
			}
			replicas[index].Stats.SetColdShare(fleet.scenario.ColdShare > 0, fleet.scenario.ColdShare)
		}
		shard.Replicas = replicas
		home.shards = append(home.shards, shard)
	}
	return home
}

// originMutex guards the writes to view.MonotonicOrigin.
var originMutex sync.Mutex

// setOrigin sets view.MonotonicOrigin unless it is set to the same time already.
func setOrigin() {
	originMutex.Lock()
	defer originMutex.Unlock()
	if origin := time.Now().Add(-time.Hour); !view.MonotonicOrigin.Equal(origin) {
		view.MonotonicOrigin = origin
	}
}

// Simulate runs scenario with one home in each failure domain. newChoice returns
// the replica choice policy for the home of a failure domain, newAdmission the
// admission of each. Simulate sets
// view.MonotonicOrigin, which all simulations of a process share: one must end
// before the next begins, unless their synthetic clocks begin at the same time.
func Simulate[C upstream.Choice, H upstream.Hedge, A caller.Admission](scenario Scenario, newChoice func(failureDomain string) C, hedge H, newAdmission func() A) *Result {
	setOrigin()
	fleet := newFleet(scenario)
	simulation := &simulation[C, H, A]{scenario: scenario, result: &Result{Seconds: make([]Second, int(scenario.Duration/time.Second)), Kinds: make(map[string]KindResult)}}
	for _, failureDomain := range scenario.FailureDomains {
		simulation.homes = append(simulation.homes, newHome(fleet, failureDomain, newChoice(failureDomain), hedge, newAdmission()))
	}
	simulation.run(fleet)
	for _, replica := range fleet.replicas {
		simulation.result.ExtraRequests += replica.arrivalCount()
		simulation.result.CrashCount += replica.crashCount
		simulation.result.MostColdRequests = max(simulation.result.MostColdRequests, replica.mostColdArrivals)
	}
	simulation.result.ExtraRequests = max(simulation.result.ExtraRequests-simulation.result.FirstRequests, 0)
	return simulation.result
}

// simulation is one run of a scenario.
type simulation[C upstream.Choice, H upstream.Hedge, A caller.Admission] struct {
	scenario Scenario
	homes    []*home[C, H, A]
	queries  sync.WaitGroup

	// mutex guards result while queries run.
	mutex  sync.Mutex
	result *Result
}

// run sends queries in an open loop, in which arrivals do not wait for answers,
// and returns when all queries have ended.
func (simulation *simulation[C, H, A]) run(fleet *fleet) {
	for number := uint64(0); ; number++ {
		now := time.Since(fleet.startTime)
		time.Sleep(time.Duration(fleet.random.ExpFloat64() / simulation.scenario.rateAt(now) * float64(time.Second)))
		now = time.Since(fleet.startTime)
		if now >= simulation.scenario.Duration {
			break
		}
		home := simulation.homes[fleet.random.IntN(len(simulation.homes))]
		home.fanout.CurrentView.Tick()
		simulation.queries.Add(1)
		query := &query[C, H, A]{simulation: simulation, number: number, home: home, kind: simulation.scenario.drawKind(fleet.random), secondIndex: int(now / time.Second)}
		go query.run()
	}
	simulation.queries.Wait()
}

// rateAt returns the number of queries a second at the given time after the start.
func (scenario Scenario) rateAt(at time.Duration) float64 {
	if scenario.RatePeriod <= 0 {
		return scenario.Rate
	}
	return scenario.Rate * (1 + scenario.RateAmplitude*math.Sin(2*math.Pi*float64(at)/float64(scenario.RatePeriod)))
}

// drawKind draws a kind by weight.
func (scenario Scenario) drawKind(random *rand.Rand) Kind {
	total := 0.0
	for _, kind := range scenario.Kinds {
		total += kind.Weight
	}
	draw := random.Float64() * total
	for _, kind := range scenario.Kinds {
		if draw -= kind.Weight; draw < 0 {
			return kind
		}
	}
	return scenario.Kinds[0]
}

// query is one query of a simulation.
type query[C upstream.Choice, H upstream.Hedge, A caller.Admission] struct {
	simulation *simulation[C, H, A]
	// number counts the queries of the simulation from 0.
	number uint64
	home   *home[C, H, A]
	kind   Kind
	// secondIndex is the index in Result.Seconds of the second in which the query
	// is sent.
	secondIndex int
}

// targetMargin is the latency that a caller sees in addition to the time that
// the home takes.
const targetMargin = 8 * time.Millisecond

func (query *query[C, H, A]) run() {
	defer query.simulation.queries.Done()
	now := time.Now()
	kind := query.kind
	random := query.simulation.scenario.source(queryStream, query.number)
	request := upstream.Request{
		View:      &view.View{},
		Scope:     api.Scope{Form: api.FormMerged, TopK: 1, MinCoverage: kind.MinCoverage, MaxAttempts: query.simulation.scenario.MaxAttempts, Priority: kind.Priority},
		Selection: view.Selection{Shards: query.home.shards},
		// The request target tells the replicas how much work the query is.
		RelayedRequest: &api.RelayedRequest{Identity: strconv.FormatUint(random.Uint64(), 36), RequestTarget: kind.drawWork(random).String()},
		TargetTime:     now.Add(kind.TargetLatency - targetMargin),
		Deadline:       now.Add(kind.Deadline),
	}
	admissionrequest := caller.AdmissionRequest{Scope: request.Scope, Deadline: request.Deadline, TargetTime: request.TargetTime, Rank: schedule.Rank(request.RelayedRequest)}
	if refusal := query.home.admission.Admit(admissionrequest); refusal != nil {
		query.simulation.record(query.secondIndex, kind, api.Answer{Outcome: api.OutcomeNotRun}, 0)
		return
	}
	answer := query.home.fanout.Run(context.Background(), request)
	latency := time.Since(now) + targetMargin
	query.home.admission.Observe(admissionrequest, latency > kind.TargetLatency)
	query.simulation.record(query.secondIndex, kind, answer, latency)
}

// record adds the outcome of a query that was sent in the second with the given
// index. The value of an answer is proportional to the square of its coverage.
func (simulation *simulation[C, H, A]) record(secondIndex int, kind Kind, answer api.Answer, latency time.Duration) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	second := &simulation.result.Seconds[secondIndex]
	kindResult := simulation.result.Kinds[kind.Name]
	defer func() { simulation.result.Kinds[kind.Name] = kindResult }()
	second.Queries++
	kindResult.Queries++
	second.PossibleValue += kind.Value
	simulation.result.FirstRequests += simulation.scenario.ShardCount
	if answer.Outcome != api.OutcomeDone {
		second.FailedQueries++
		kindResult.FailedQueries++
		return
	}
	coverage := answer.Coverage.Ratio()
	value := kind.Value * coverage * coverage
	if latency > kind.TargetLatency {
		value *= kind.LateValueShare
	} else {
		second.InTimeQueries++
		kindResult.InTimeQueries++
	}
	second.EarnedValue += value
}
