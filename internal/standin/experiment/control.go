package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/process/instance"
	"github.com/mimosaspring/mimosaspring/internal/standin/deployment"
	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// ControlCost measures what membership and configuration cost an instance without
// queries, in systems of several sizes: processor time, memory, bytes sent to
// peers, and the time until a change of the configuration is in force on every
// instance.
type ControlCost struct {
	// InstanceCounts holds the sizes to measure.
	InstanceCounts []int
	// MeasureTime is how long processor time and traffic are measured.
	MeasureTime time.Duration
	// ChangeCount is the number of configuration changes to time.
	ChangeCount int
	Output      io.Writer
}

// settleTime is the wait before a measurement. It keeps the first handshakes and
// gossip messages out of the figures.
const settleTime = 4 * time.Second

// Run measures each size and prints a line for it. Processor time and memory are
// those of the whole process, divided by the number of instances.
func (controlcost ControlCost) Run(ctx context.Context) error {
	fmt.Fprintf(controlcost.Output, "%9s %12s %10s %14s %14s %10s %10s\n", "instances", "cpu/inst", "heap/inst", "sent B/s/inst", "datagrams/s", "change", "handshakes")
	for _, size := range controlcost.InstanceCounts {
		if err := controlcost.measure(ctx, size); err != nil {
			return err
		}
	}
	return nil
}

func (controlcost ControlCost) measure(ctx context.Context, size int) error {
	counter := &trafficCounter{}
	plan := deployment.Plan{
		Name:           "control",
		FailureDomains: []string{"a", "b", "c", "d", "e", "f", "g"},
		Groups:         []deployment.ServiceGroup{{Name: "desk", ServiceCount: 1, ReplicasPerService: 1, Slots: 1, ConnectionLimit: 1000}},
		Scopes:         []api.Scope{{Name: "control", Tenant: "t", Class: "c", Index: "control", Aim: api.AimLatency}},
	}
	running, err := trial.Start(ctx, trial.Options{
		Plans:           []deployment.Plan{plan},
		InstanceCount:   size,
		PolicySet:       "default",
		InstanceOptions: func(string) []instance.Option { return []instance.Option{instance.WithPeerSocket(counter.wrap)} },
	})
	if err != nil {
		return err
	}
	defer running.Close()
	time.Sleep(settleTime)
	startBytes, startDatagrams, startProcessorTime := counter.bytes.Load(), counter.datagrams.Load(), processorTime()
	time.Sleep(controlcost.MeasureTime)
	instanceSeconds := float64(size) * controlcost.MeasureTime.Seconds()
	processorShare := (processorTime() - startProcessorTime).Seconds() / instanceSeconds
	byteRate := float64(counter.bytes.Load()-startBytes) / instanceSeconds
	datagramRate := float64(counter.datagrams.Load()-startDatagrams) / instanceSeconds
	changeTime, err := controlcost.timeChanges(ctx, running)
	if err != nil {
		return err
	}
	handshakes := int64(0)
	for _, member := range running.Instances {
		handshakes += member.Handshakes()
	}
	fmt.Fprintf(controlcost.Output, "%9d %11.3f%% %7.2f MB %14.0f %14.1f %10s %10.1f\n", size, 100*processorShare, heapMegabytes()/float64(size), byteRate, datagramRate,
		changeTime.Round(time.Millisecond), float64(handshakes)/float64(size))
	return nil
}

// timeChanges publishes ChangeCount changes one after another and returns the
// longest time until one was in force on every instance.
func (controlcost ControlCost) timeChanges(ctx context.Context, running *trial.Trial) (time.Duration, error) {
	longest := time.Duration(0)
	for number := range controlcost.ChangeCount {
		index := running.Fleets[0].Index()
		index.Snapshot = uint64(deployment.InitialSnapshot + 1 + number)
		start := time.Now()
		if err := deployment.PutDocument(running.Platform.Store, api.IndexPrefix+index.Name, index); err != nil {
			return 0, err
		}
		err := trial.AwaitCondition(ctx, func() bool {
			for _, member := range running.Instances {
				if member.View().Indexes[index.Name].PublishedSnapshot != index.Snapshot {
					return false
				}
			}
			return true
		})
		if err != nil {
			return 0, errors.Wrap(err, "await change")
		}
		longest = max(longest, time.Since(start))
	}
	return longest, nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapMegabytes returns the memory that heap and stacks of this process use after
// a garbage collection, in units of 2^20 bytes.
func heapMegabytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse+stats.StackInuse) / (1 << 20)
}

// trafficCounter counts the datagrams that the instances send to peers, and their
// bytes with the headers.
type trafficCounter struct {
	bytes     atomic.Int64
	datagrams atomic.Int64
}

// headerBytes is the size of the IPv4 and UDP headers.
const headerBytes = 28

// wrap returns a socket that counts the datagrams sent through it.
func (trafficcounter *trafficCounter) wrap(socket net.PacketConn) net.PacketConn {
	return &countedSocket{PacketConn: socket, counter: trafficcounter}
}

// countedSocket counts the datagrams that it sends.
type countedSocket struct {
	net.PacketConn
	counter *trafficCounter
}

// WriteTo sends and counts one datagram.
func (countedsocket *countedSocket) WriteTo(datagram []byte, to net.Addr) (int, error) {
	countedsocket.counter.datagrams.Add(1)
	countedsocket.counter.bytes.Add(int64(len(datagram) + headerBytes))
	return countedsocket.PacketConn.WriteTo(datagram, to)
}
