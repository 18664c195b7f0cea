package peers_test

import (
	"bytes"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/peers"
	"filberthold/revise"

	"gotest.tools/v3/assert"
)

// countingConn counts the bytes and packets that it sends. It hides the
// extensions of a UDP socket, so that each packet is one call.
type countingConn struct {
	net.PacketConn
	bytes, packets *atomic.Int64
	// delay is the one-way delay of all packets in nanoseconds.
	delay *atomic.Int64
}

// interRegionDelay is the longest one-way delay of the current deployments.
const interRegionDelay = 55 * time.Millisecond

// headerBytes is the size of the IPv4 and UDP headers of a packet.
const headerBytes = 28

func (c countingConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.bytes.Add(int64(len(data)) + headerBytes)
	c.packets.Add(1)
	if delay := time.Duration(c.delay.Load()); delay > 0 {
		delayed := bytes.Clone(data)
		time.AfterFunc(delay, func() { _, _ = c.PacketConn.WriteTo(delayed, to) })
		return len(data), nil
	}
	return c.PacketConn.WriteTo(data, to)
}

// BenchmarkControlTraffic measures all hosts of a deployment in one process.
// Run it with -benchtime 1x. One iteration measures the hosts while they are
// idle for 10 s, and then the time until all of them have a new revision: first
// without delay, and then with the same delay between all hosts.
func BenchmarkControlTraffic(b *testing.B) {
	for _, count := range []int{12, 48, 96, 680} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			var sent, packets, delay atomic.Int64
			deployment, conns := newLoopbackDeployment(b, count)
			hosts := deployment.Hosts()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var meshes []*peers.Mesh
			for i, host := range hosts {
				meshes = append(meshes, runMesh(b, host, countingConn{conns[i], &sent, &packets, &delay}))
			}
			publish(meshes, deployment, 1)
			waitConnected(b, meshes, hosts)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				const idle = 10 * time.Second
				sent.Store(0)
				packets.Store(0)
				cpu := cpuTime(b)
				time.Sleep(idle)
				perHost := float64(count) * idle.Seconds()
				b.ReportMetric(float64(sent.Load())/perHost, "sent-bytes/s/host")
				b.ReportMetric(float64(packets.Load())/perHost, "sent-packets/s/host")
				b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/perHost, "cpu-percent/host")
				b.ReportMetric(measureDistribution(b, meshes, deployment, 2).Seconds()*1000, "ms-to-all")
				delay.Store(int64(interRegionDelay))
				b.ReportMetric(measureDistribution(b, meshes, deployment, 3).Seconds()*1000, "ms-to-all-delayed")
			}
			b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/float64(count), "memory-bytes/host")
		})
	}
}

func publish(meshes []*peers.Mesh, deployment *model.Deployment, number uint64) {
	body := fmt.Appendf(nil, "name = 'revision-%d'\n", number)
	for _, mesh := range meshes {
		mesh.Publish(revise.RevisionIDOf(number, body), body, deployment)
	}
}

// measureDistribution publishes a new revision at one host and returns the time
// until the last host has it.
func measureDistribution(b *testing.B, meshes []*peers.Mesh, deployment *model.Deployment, number uint64) time.Duration {
	start := time.Now()
	publish(meshes[:1], deployment, number)
	var group sync.WaitGroup
	for _, mesh := range meshes[1:] {
		group.Go(func() {
			var revised peers.RevisionReceived
			for revised.ID.Number() < number {
				event, err := mesh.Events().Get(b.Context())
				if !assert.Check(b, err) {
					return
				}
				revised = event.(peers.RevisionReceived)
			}
			mesh.Publish(revised.ID, revised.Body, deployment)
		})
	}
	group.Wait()
	return time.Since(start)
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
