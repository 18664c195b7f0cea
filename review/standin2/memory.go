package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// aheadClients is the number of clients that send reads ahead, all at one host. Each has one
	// connection, less than the 4,100 descriptors of the host allow.
	aheadClients = 2300
	// aheadReads is the number of reads that each of them sends, and aheadFields the number of
	// short fields of each. A head has less than an eighth of maxHeaderBytes.
	aheadReads  = 6
	aheadFields = 240
	// aheadInterval is the time between two clients, and aheadTime how long they stay.
	aheadInterval = 5 * time.Millisecond
	aheadTime     = 30 * time.Second
	// aheadDescriptors is the number of descriptors that the host and this process need.
	aheadDescriptors = 4100
	// readBytes is the length of an answer to a read.
	readBytes = 5000
	// sampleInterval is the time between two looks at the memory, and noteInterval the number of
	// looks between two lines about it.
	sampleInterval = 200 * time.Millisecond
	noteInterval   = 10
)

// shortFields returns the lines of some short fields.
func shortFields(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "x%d:a\r\n", i)
	}
	return text.String()
}

// sendAhead sends some reads on a connection at once, reads no answer, and stays until ctx ends.
func (d *deployment) sendAhead(ctx context.Context, to *host, number int, fields string) {
	conn, err := net.DialTimeout("tcp", to.front(), time.Second)
	if err != nil {
		d.record.note("client %d: %v", number, err)
		return
	}
	defer func() { _ = conn.Close() }()
	var text strings.Builder
	for i := range aheadReads {
		attempt := fmt.Sprintf("ahead%d-%d", number, i)
		head := headOf("GET", "/diary-view/"+attempt, attempt, clientTime, 0)
		text.WriteString(strings.TrimSuffix(head, "\r\n") + fields + "\r\n")
	}
	sentAt := time.Now()
	_ = conn.SetWriteDeadline(sentAt.Add(aheadTime))
	_, err = conn.Write([]byte(text.String()))
	d.record.addRequest(request{
		attempt: fmt.Sprintf("ahead%d-0 to ahead%d-%d", number, number, aheadReads-1), host: to.name, path: fmt.Sprintf("with %d bytes", text.Len()),
		sentAt: sentAt, answeredAt: time.Now(), outcome: fmt.Sprintf("the answers are not read (error %v)", err),
	})
	<-ctx.Done()
}

// residentBytes returns the memory that a process has in use, without what the kernel keeps for
// its connections.
func residentBytes(process int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if size, isResident := strings.CutPrefix(line, "VmRSS:"); isResident {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(size, "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// playMemory measures the memory of a host while clients send reads of many short fields ahead.
func playMemory(d *deployment, hasTrouble bool) (bool, error) {
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil || descriptors.Cur < aheadDescriptors {
		return false, fmt.Errorf("the case needs %d descriptors, allowed are %d", aheadDescriptors, descriptors.Cur)
	}
	d.hosts = d.hosts[:2]
	d.addRoute("diary-view", "safe", 2500)
	d.configure()
	for i := range 16 {
		view, err := d.addEndpoint(fmt.Sprintf("i-view%d", i), "diary-view", "plzen-a", 750*time.Millisecond)
		if err != nil {
			return false, err
		}
		view.answerBytes = readBytes
	}
	if err := d.begin(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithTimeout(context.Background(), aheadTime)
	defer stop()
	to := d.hosts[0]
	var crowd sync.WaitGroup
	if hasTrouble {
		d.record.note("%d clients come to %s; each sends %d reads of %d short fields at once and reads no answer", aheadClients, to.name, aheadReads, aheadFields)
		crowd.Go(func() {
			fields := shortFields(aheadFields)
			for number := range aheadClients {
				crowd.Go(func() { d.sendAhead(ctx, to, number, fields) })
				time.Sleep(aheadInterval)
			}
		})
	}
	most, first := int64(0), time.Time{}
	for sample := 0; ctx.Err() == nil; sample++ {
		time.Sleep(sampleInterval)
		resident := residentBytes(to.command.Process.Pid)
		most = max(most, resident)
		if resident > memoryMb<<20 && first.IsZero() {
			first = time.Now()
			d.record.note("%s uses more memory than it has", to.name)
		}
		if sample%noteInterval == 0 {
			d.record.note("%s uses %d MB", to.name, resident>>20)
		}
	}
	stop()
	crowd.Wait()
	d.record.note("%s used up to %d MB; it has %d MB", to.name, most>>20, memoryMb)
	return most <= memoryMb<<20, nil
}
