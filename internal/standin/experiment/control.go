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

// ControlCost measures what control costs an instance in fleets of several
// sizes, without queries: processor time, memory, bytes to peers, and how
// long a change of configuration takes to be in force everywhere.
type ControlCost struct {
	Sizes   []int
	Length  time.Duration
	Changes int
	Output  io.Writer
}

// settleTime lets handshakes and the first news pass before a measurement.
const settleTime = 4 * time.Second

// Run measures each size and prints a line for it.
func (controlcost ControlCost) Run(ctx context.Context) error {
	fmt.Fprintf(controlcost.Output, "%9s %12s %10s %14s %14s %10s %10s\n", "instances", "cpu/inst", "heap/inst", "sent B/s/inst", "datagrams/s", "change", "handshakes")
	for _, size := range controlcost.Sizes {
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
		Groups:         []deployment.Group{{Name: "desk", Services: 1, Replicas: 1, Slots: 1, ConnectionLimit: 1000}},
		Scopes:         []api.Scope{{Name: "control", Tenant: "t", Class: "c", Index: "control", Aim: api.AimLatency}},
	}
	running, err := trial.Start(ctx, trial.Options{
		Plans:     []deployment.Plan{plan},
		Instances: size,
		PolicySet: "default",
		Extra:     func(string) []instance.Option { return []instance.Option{instance.WithPeerSocket(counter.wrap)} },
	})
	if err != nil {
		return err
	}
	defer running.Close()
	time.Sleep(settleTime)
	bytes, packets, processor := counter.bytes.Load(), counter.packets.Load(), processorTime()
	time.Sleep(controlcost.Length)
	per := float64(size) * controlcost.Length.Seconds()
	spent := float64(processorTime()-processor) / float64(time.Second) / per
	rate := float64(counter.bytes.Load()-bytes) / per
	sent := float64(counter.packets.Load()-packets) / per
	change, err := controlcost.change(ctx, running)
	if err != nil {
		return err
	}
	handshakes := int64(0)
	for _, one := range running.Instances {
		handshakes += one.Handshakes()
	}
	fmt.Fprintf(controlcost.Output, "%9d %11.3f%% %7.2f MB %14.0f %14.1f %10s %10.1f\n", size, 100*spent, heapMegabytes()/float64(size), rate, sent,
		change.Round(time.Millisecond), float64(handshakes)/float64(size))
	return nil
}

// change publishes changes one after another and returns the longest time
// until one was in force on every instance.
func (controlcost ControlCost) change(ctx context.Context, running *trial.Trial) (time.Duration, error) {
	longest := time.Duration(0)
	for number := range controlcost.Changes {
		index := running.Fleets[0].Index()
		index.Snapshot = uint64(deployment.FirstSnapshot + 1 + number)
		start := time.Now()
		if err := deployment.PutDocument(running.Platform.Store, api.IndexPrefix+index.Name, index); err != nil {
			return 0, err
		}
		err := trial.Await(ctx, func() bool {
			for _, one := range running.Instances {
				if one.View().Indexes[index.Name].PublishedSnapshot != index.Snapshot {
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

func heapMegabytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse+stats.StackInuse) / (1 << 20)
}

// trafficCounter counts what the instances send to peers.
type trafficCounter struct {
	bytes   atomic.Int64
	packets atomic.Int64
}

// datagramOverhead is the size of the IP and UDP headers, in bytes.
const datagramOverhead = 28

func (trafficcounter *trafficCounter) wrap(socket net.PacketConn) net.PacketConn {
	return &countedSocket{PacketConn: socket, counter: trafficcounter}
}

// countedSocket counts the datagrams that it sends.
type countedSocket struct {
	net.PacketConn
	counter *trafficCounter
}

// WriteTo sends and counts one datagram.
func (countedsocket *countedSocket) WriteTo(packet []byte, to net.Addr) (int, error) {
	countedsocket.counter.packets.Add(1)
	countedsocket.counter.bytes.Add(int64(len(packet) + datagramOverhead))
	return countedsocket.PacketConn.WriteTo(packet, to)
}
