package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// slowBody is the length of the body that each client of the crowd announces, and
	// slowInterval the time between its bytes, and between two of its connections.
	slowBody     = 60 << 10
	slowInterval = 400 * time.Millisecond
	// crowdHosts is the number of hosts, and crowdPerHost the number of clients of the crowd
	// at each.
	crowdHosts   = 2
	crowdPerHost = 4500
	// mostDescriptors is what the crowd needs.
	mostDescriptors = crowdHosts*crowdPerHost + 500
	// settleTime is how long the crowd takes to come, and crowdTime how long it stays then.
	settleTime = 5 * time.Second
	crowdTime  = 20 * time.Second
	// ordinaryPerSecond is the number of requests of ordinary callers, who try again once.
	ordinaryPerSecond = 30
	ordinaryTries     = 2
	// mostUnserved is the share of them that may be refused or fail.
	mostUnserved = 0.6
)

// slowClient sends the body of a request very slowly, on one connection after the other.
func (d *deployment) slowClient(ctx context.Context, to *host, number int) {
	for i := 0; ctx.Err() == nil; i++ {
		conn, err := net.DialTimeout("tcp", to.front(), time.Second)
		if err == nil {
			sendSlowly(ctx, conn, fmt.Sprintf("slow%d-%d", number, i))
		}
		time.Sleep(slowInterval)
	}
}

func sendSlowly(ctx context.Context, conn net.Conn, attempt string) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_, err := io.WriteString(conn, headOf("POST", "/filing-desk/"+attempt, attempt, 6*time.Second, slowBody)+strings.Repeat("x", 100))
	for err == nil {
		time.Sleep(slowInterval)
		_, err = conn.Write([]byte("x"))
	}
}

// tally counts the ordinary requests and the questions whether a host is ready.
type tally struct {
	mu                               sync.Mutex
	requests, served, asks, notReady int
}

// ordinary sends a request, and once more to another host if it is refused or fails.
func (d *deployment) ordinary(client *http.Client, counted *tally) {
	order := rand.Perm(len(d.hosts))
	isServed := false
	for try := 0; try < ordinaryTries && !isServed; try++ {
		isServed = d.sendTo(client, "/diary-view/", d.hosts[order[try]])
	}
	counted.mu.Lock()
	defer counted.mu.Unlock()
	counted.requests++
	if isServed {
		counted.served++
	}
}

// watch sends ordinary requests, and asks each host each second whether it is ready.
func (d *deployment) watch(ctx context.Context) *tally {
	counted := new(tally)
	client := &http.Client{Timeout: clientTime, Transport: &http.Transport{DisableKeepAlives: true}}
	asker := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	requests, asks := time.NewTicker(time.Second/ordinaryPerSecond), time.NewTicker(time.Second)
	defer requests.Stop()
	defer asks.Stop()
	var running sync.WaitGroup
	for {
		select {
		case <-requests.C:
			running.Go(func() { d.ordinary(client, counted) })
		case <-asks.C:
			for _, each := range d.hosts {
				running.Go(func() {
					ready := isReady(asker, each)
					counted.mu.Lock()
					defer counted.mu.Unlock()
					counted.asks++
					if !ready {
						counted.notReady++
					}
				})
			}
		case <-ctx.Done():
			running.Wait()
			return counted
		}
	}
}

// playCrowd lets ordinary callers ask while a crowd of clients sends very slowly.
func playCrowd(d *deployment, hasTrouble bool) (bool, error) {
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil || descriptors.Cur < mostDescriptors {
		return false, fmt.Errorf("the crowd needs %d descriptors, allowed are %d", mostDescriptors, descriptors.Cur)
	}
	d.hosts = d.hosts[:crowdHosts]
	d.addRoute("diary-view", "safe", 2500)
	d.addRoute("filing-desk", "unsafe", 3000)
	d.configure()
	for i := range 6 {
		if _, err := d.addEndpoint(fmt.Sprintf("i-view%d", i), "diary-view", "plzen-a", 60*time.Millisecond); err != nil {
			return false, err
		}
		if _, err := d.addEndpoint(fmt.Sprintf("i-desk%d", i), "filing-desk", "plzen-a", 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := d.begin(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithTimeout(context.Background(), settleTime+crowdTime)
	defer stop()
	var crowd sync.WaitGroup
	if hasTrouble {
		d.record.note("%d clients at each of %d hosts begin to send very slowly", crowdPerHost, crowdHosts)
		for number := range crowdPerHost {
			for _, to := range d.hosts {
				crowd.Go(func() { d.slowClient(ctx, to, number) })
			}
			if number%20 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	time.Sleep(settleTime - 2*time.Second)
	watchCtx, stopWatch := context.WithTimeout(ctx, crowdTime-2*time.Second)
	defer stopWatch()
	counted := d.watch(watchCtx)
	stop()
	crowd.Wait()
	unserved := counted.requests - counted.served
	d.record.note("of %d ordinary requests, sent %d times each at most, %d were refused or failed (%.0f%%); allowed are %.0f%%",
		counted.requests, ordinaryTries, unserved, 100*float64(unserved)/float64(max(1, counted.requests)), 100*mostUnserved)
	d.record.note("of %d questions whether a host is ready, %d had no 200", counted.asks, counted.notReady)
	for _, each := range d.hosts {
		d.record.note("%s runs: %v", each.name, each.command.ProcessState == nil)
	}
	return float64(unserved) <= mostUnserved*float64(counted.requests), nil
}
