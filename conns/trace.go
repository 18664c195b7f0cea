package conns

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

// unknownBytes is a number of bytes that is not known.
const unknownBytes = -1

// Trace tells what an exchange did on its connection, for logs and metrics. Exchange
// fills it in case of success and of an error alike; it must not be read before. The
// zero value belongs to an exchange that got no connection. A nil Trace records nothing.
type Trace struct {
	// local is the own address of the connection. It is not valid without one.
	local netip.AddrPort
	// isUsed is true if the connection had carried a response before this exchange.
	isUsed bool
	// idle is the time since that response, or 0.
	idle time.Duration
	// connectTime and writeTime are at least 0.
	connectTime, writeTime time.Duration
	// size and written count the bytes of the request. size is unknownBytes for a body of
	// unknown length.
	size, written int64
	// unacknowledged is unknownBytes, or at least 0.
	unacknowledged int64
	// hasHead is true once the head of the request's own response was read.
	hasHead bool
	// isFirstResponse is true if that response was the first one of the connection.
	isFirstResponse bool
	// foreign counts the responses to other requests, in 0..maxMismatches+1.
	foreign int
}

// HasConnection reports whether the exchange got a connection.
func (t *Trace) HasConnection() bool { return t.local.IsValid() }

// Local returns the own address of the connection, which identifies it in the logs of
// the endpoint and in a capture. It is not valid without a connection.
func (t *Trace) Local() netip.AddrPort { return t.local }

// IsUsed reports whether the connection had carried a response before the exchange.
func (t *Trace) IsUsed() bool { return t.isUsed }

// Idle returns the time between that response and the exchange.
func (t *Trace) Idle() time.Duration { return t.idle }

// ConnectTime returns how long the exchange waited for its connection.
func (t *Trace) ConnectTime() time.Duration { return t.connectTime }

// WriteTime returns how long the head of the request and a body in memory took to be
// written. It is long if the endpoint does not read.
func (t *Trace) WriteTime() time.Duration { return t.writeTime }

// Size returns the length of the encoded request in bytes: 0 if it was not encoded, -1
// if its body has no known length.
func (t *Trace) Size() int64 { return t.size }

// Written returns the number of bytes of the request that the operating system took. A
// write of a streamed body that is under way when the exchange ends is not counted.
func (t *Trace) Written() int64 { return t.written }

// Unacknowledged returns how many written bytes the endpoint's side had not acknowledged
// when the exchange failed, or -1 if that is not known. Such bytes may arrive later.
func (t *Trace) Unacknowledged() int64 { return t.unacknowledged }

// HasHead reports whether the head of the request's own response was read.
func (t *Trace) HasHead() bool { return t.hasHead }

// IsFirstResponse reports whether that response was the first one of the connection.
func (t *Trace) IsFirstResponse() bool { return t.isFirstResponse }

// ForeignResponses returns the number of responses to other requests that came instead of
// the request's own response, or before it.
func (t *Trace) ForeignResponses() int { return t.foreign }

// start records the connection that an exchange got.
func (t *Trace) start(conn *connection, startedAt, now time.Time) {
	conn.written.Store(0)
	if t == nil {
		return
	}
	t.connectTime = now.Sub(startedAt)
	if local, isTCP := conn.LocalAddr().(*net.TCPAddr); isTCP {
		address := local.AddrPort()
		t.local = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	}
	t.isUsed = conn.isReused
	if t.isUsed {
		t.idle = now.Sub(conn.idleSince)
	}
	t.unacknowledged = unknownBytes
}

// recordWrite records the length of the request and how long its write took.
func (t *Trace) recordWrite(size int64, elapsed time.Duration) {
	if t != nil {
		t.size, t.writeTime = size, elapsed
	}
}

// countForeign counts a response to another request.
func (t *Trace) countForeign() {
	if t != nil {
		t.foreign++
	}
}

// recordHead records that the head of the request's own response was read.
func (t *Trace) recordHead(isFirstResponse bool) {
	if t != nil {
		t.hasHead, t.isFirstResponse = true, isFirstResponse
	}
}

// end records what was written when an exchange ends. A longer body may still be sent.
func (t *Trace) end(conn *connection, err error) {
	if t == nil {
		return
	}
	t.written = conn.written.Load()
	if err != nil {
		t.unacknowledged = conn.unacknowledged()
	}
}

// encodedSize returns the length of a request in bytes, given that of its head.
func encodedSize(head int, request Request) int64 {
	switch {
	case request.Stream == nil:
		return int64(head + len(request.Body))
	case request.Length < 0:
		return unknownBytes
	}
	return int64(head) + request.Length
}

// Write counts the bytes that the operating system took.
func (c *connection) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	c.written.Add(int64(count))
	return count, err
}

// unacknowledged returns the number of bytes that were written and not acknowledged by
// the other side, or unknownBytes.
func (c *connection) unacknowledged() int64 {
	raw, isRaw := c.Conn.(syscall.Conn)
	if !isRaw {
		return unknownBytes
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return unknownBytes
	}
	count := int64(unknownBytes)
	err = access.Control(func(descriptor uintptr) { count = unsentBytes(int(descriptor)) })
	if err != nil {
		return unknownBytes
	}
	return count
}
