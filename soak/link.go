package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of the largest chunk that a link reads at once.
	chunkBytes = 32 << 10
	// maxHeldChunks bounds the chunks that a direction holds. A link that holds as many
	// reads no more, so that the buffers of the kernel fill up next.
	maxHeldChunks = 64
)

// link is a connection through a proxy.
type link struct {
	client, server *net.TCPConn
	// aborted is closed when both connections have been reset.
	aborted   chan struct{}
	abortOnce sync.Once
}

// chunk is data that a link read at one time. It is empty at the end of a direction.
type chunk struct {
	data      []byte
	arrivedAt time.Time
}

func newLink(client, server *net.TCPConn) *link {
	return &link{client: client, server: server, aborted: make(chan struct{})}
}

// run forwards until both directions have ended or a side has reset its connection.
func (l *link) run(proxy *faultProxy) {
	var group sync.WaitGroup
	for _, d := range []direction{
		{link: l, proxy: proxy, source: l.client, target: l.server},
		{link: l, proxy: proxy, source: l.server, target: l.client, isResponse: true},
	} {
		chunks := make(chan chunk, maxHeldChunks)
		group.Go(func() { d.read(chunks) })
		group.Go(func() { d.deliver(chunks) })
	}
	group.Wait()
	_, _ = l.client.Close(), l.server.Close()
}

// abort resets both connections.
func (l *link) abort() {
	l.abortOnce.Do(func() {
		close(l.aborted)
		resetConn(l.client)
		resetConn(l.server)
	})
}

// resetConn closes a connection with a reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// direction forwards the data of one direction of a link.
type direction struct {
	link           *link
	proxy          *faultProxy
	source, target *net.TCPConn
	isResponse     bool
	// passed counts the bytes that were delivered while the channel limited was the
	// current one.
	passed  int
	limited <-chan struct{}
	// taken counts the bytes that were read.
	taken int
}

// read reads chunks until the source ends.
func (d *direction) read(chunks chan<- chunk) {
	for {
		size, isOpen := d.waitToRead()
		if !isOpen {
			return
		}
		buffer := make([]byte, size)
		count, err := d.source.Read(buffer)
		d.taken += count
		if count > 0 && !d.enqueue(chunks, buffer[:count]) {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			d.enqueue(chunks, nil)
			return
		case err != nil:
			d.link.abort()
			return
		}
	}
}

// waitToRead waits until data may be read, and returns how much. It returns false if the link
// was reset.
func (d *direction) waitToRead() (size int, isOpen bool) {
	for {
		now, changed := d.proxy.current()
		if now.mode != clogged || d.isResponse {
			return chunkBytes, true
		}
		if d.taken < now.bytes {
			return min(chunkBytes, now.bytes-d.taken), true
		}
		select {
		case <-changed:
		case <-d.link.aborted:
			return 0, false
		}
	}
}

// enqueue reports false if the link was reset.
func (d *direction) enqueue(chunks chan<- chunk, data []byte) bool {
	select {
	case chunks <- chunk{data, time.Now()}:
		return true
	case <-d.link.aborted:
		return false
	}
}

// deliver writes chunks until the source ends or a side resets its connection.
func (d *direction) deliver(chunks <-chan chunk) {
	for {
		select {
		case next := <-chunks:
			if !d.write(next) {
				d.link.abort()
				return
			}
			if len(next.data) == 0 {
				return
			}
		case <-d.link.aborted:
			return
		}
	}
}

// write writes one chunk as the condition of the proxy demands. It reports false if the
// connection is to be reset.
func (d *direction) write(next chunk) bool {
	now, changed, isOpen := d.wait(next)
	switch {
	case !isOpen:
		return false
	case len(next.data) == 0:
		return d.target.CloseWrite() == nil
	case now.resets(d.isResponse):
		return false
	case now.drops(d.isResponse):
		return true
	case now.mode == resetAfter:
		return d.writeBelow(now.bytes, next.data, changed)
	case now.mode == byteByByte:
		return d.writeBytes(next.data)
	}
	_, err := d.target.Write(next.data)
	return err == nil
}

// wait waits until a chunk is due. It returns the condition then, or false if the link was
// reset.
func (d *direction) wait(next chunk) (now condition, changed <-chan struct{}, isOpen bool) {
	startedAt := time.Now()
	for {
		now, changed = d.proxy.current()
		var due <-chan time.Time
		switch {
		case now.holds(d.isResponse):
		case now.mode == late && time.Since(next.arrivedAt) < now.delay:
			due = time.After(time.Until(next.arrivedAt.Add(now.delay)))
		case now.mode == slow && time.Since(startedAt) < readDelay:
			due = time.After(time.Until(startedAt.Add(readDelay)))
		default:
			return now, changed, true
		}
		select {
		case <-due:
		case <-changed:
		case <-d.link.aborted:
			return now, changed, false
		}
	}
}

// writeBelow writes data until a number of bytes has passed under the current condition. It
// reports false once that many have passed.
func (d *direction) writeBelow(limit int, data []byte, current <-chan struct{}) bool {
	if d.limited != current {
		d.limited, d.passed = current, 0
	}
	count, err := d.target.Write(data[:min(len(data), limit-d.passed)])
	d.passed += count
	return err == nil && d.passed < limit
}

func (d *direction) writeBytes(data []byte) bool {
	for i := range data {
		if _, err := d.target.Write(data[i : i+1]); err != nil {
			return false
		}
	}
	return true
}
