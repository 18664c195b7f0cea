package soak

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// proxyTimeout bounds the reads of the tests.
	proxyTimeout = 5 * time.Second
	// heldTime is how long a test checks that nothing arrives.
	heldTime = 60 * time.Millisecond
)

// linkEnds are the two ends of a connection through a proxy.
type linkEnds struct {
	proxy          *faultProxy
	client, server *net.TCPConn
}

func openLink(t *testing.T) linkEnds {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	proxy, err := startProxy("127.0.0.1", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(proxy.close)
	go proxy.run()
	client, err := net.Dial("tcp", proxy.address())
	assert.NilError(t, err)
	server, err := listener.Accept()
	assert.NilError(t, err)
	for _, conn := range []net.Conn{client, server} {
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(proxyTimeout)))
	}
	return linkEnds{proxy, client.(*net.TCPConn), server.(*net.TCPConn)}
}

func write(t *testing.T, conn net.Conn, data string) {
	t.Helper()
	_, err := io.WriteString(conn, data)
	assert.NilError(t, err)
}

func assertRead(t *testing.T, conn net.Conn, expected string) {
	t.Helper()
	buffer := make([]byte, len(expected))
	_, err := io.ReadFull(conn, buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer), expected)
}

// assertSilent checks that nothing arrives for heldTime, not even an end.
func assertSilent(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(heldTime)))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "i/o timeout")
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(proxyTimeout)))
}

func assertEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

func assertReset(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "connection reset")
}

// Guards against a proxy that loses, reorders or passes on early what a link holds, or
// that ends a connection before its last bytes.
func TestProxyDeliversHeldData(t *testing.T) {
	for _, test := range []struct {
		name string
		mode mode
		play func(t *testing.T, l linkEnds, release func())
	}{
		{"requests in order", holdRequests, func(t *testing.T, l linkEnds, release func()) {
			write(t, l.client, "first ")
			assertSilent(t, l.server)
			write(t, l.client, "second")
			write(t, l.server, "response")
			assertRead(t, l.client, "response")
			release()
			assertRead(t, l.server, "first second")
		}},
		{"responses", holdResponses, func(t *testing.T, l linkEnds, release func()) {
			write(t, l.client, "request")
			assertRead(t, l.server, "request")
			write(t, l.server, "response")
			assertSilent(t, l.client)
			release()
			assertRead(t, l.client, "response")
		}},
		{"both", holdAll, func(t *testing.T, l linkEnds, release func()) {
			write(t, l.client, "request")
			write(t, l.server, "response")
			assertSilent(t, l.server)
			assertSilent(t, l.client)
			release()
			assertRead(t, l.server, "request")
			assertRead(t, l.client, "response")
		}},
		{"requests after the caller closed", holdRequests, func(t *testing.T, l linkEnds, release func()) {
			write(t, l.client, "request")
			assert.NilError(t, l.client.Close())
			assertSilent(t, l.server)
			release()
			assertRead(t, l.server, "request")
			assertEnd(t, l.server)
		}},
		{"responses after the endpoint closed", holdResponses, func(t *testing.T, l linkEnds, release func()) {
			write(t, l.server, "response")
			assert.NilError(t, l.server.Close())
			assertSilent(t, l.client)
			release()
			assertRead(t, l.client, "response")
			assertEnd(t, l.client)
		}},
		{"one end closed, the other one open", holdRequests, func(t *testing.T, l linkEnds, release func()) {
			write(t, l.client, "request")
			assert.NilError(t, l.client.CloseWrite())
			release()
			assertRead(t, l.server, "request")
			assertEnd(t, l.server)
			write(t, l.server, "response")
			assertRead(t, l.client, "response")
		}},
		{"nothing after a reset by the sender", holdRequests, func(t *testing.T, l linkEnds, release func()) {
			write(t, l.client, "request")
			assertSilent(t, l.server)
			resetConn(l.client)
			assertReset(t, l.server)
			release()
		}},
		{"more than the link's buffers", holdRequests, func(t *testing.T, l linkEnds, release func()) {
			data := bytes.Repeat([]byte("0123456789abcdef"), maxHeldChunks*chunkBytes/8)
			go func() { _, _ = l.client.Write(data) }()
			assertSilent(t, l.server)
			release()
			assertRead(t, l.server, string(data))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := openLink(t)
			l.proxy.setMode(test.mode)
			test.play(t, l, func() { l.proxy.setMode(pass) })
		})
	}
}

// Guards against a proxy whose other modes alter the data or its time.
func TestProxyConditions(t *testing.T) {
	const delay = 100 * time.Millisecond
	for _, test := range []struct {
		name      string
		condition condition
		play      func(t *testing.T, l linkEnds)
	}{
		{"late", condition{mode: late, delay: delay}, func(t *testing.T, l linkEnds) {
			sentAt := time.Now()
			write(t, l.client, "request")
			assertRead(t, l.server, "request")
			assert.Assert(t, time.Since(sentAt) >= delay)
		}},
		{"late until the mode ends", condition{mode: late, delay: time.Hour}, func(t *testing.T, l linkEnds) {
			write(t, l.client, "request")
			assertSilent(t, l.server)
			l.proxy.setMode(pass)
			assertRead(t, l.server, "request")
		}},
		{"byte by byte", condition{mode: byteByByte}, func(t *testing.T, l linkEnds) {
			write(t, l.client, "request")
			assertRead(t, l.server, "request")
			write(t, l.server, "response")
			assertRead(t, l.client, "response")
		}},
		{"reset after bytes of a request", condition{mode: resetAfter, bytes: 10}, func(t *testing.T, l linkEnds) {
			write(t, l.client, "request")
			assertRead(t, l.server, "request")
			write(t, l.client, "another")
			assertRead(t, l.server, "ano")
			assertReset(t, l.server)
			assertReset(t, l.client)
		}},
		{"reset after bytes of a response", condition{mode: resetAfter, bytes: 3}, func(t *testing.T, l linkEnds) {
			write(t, l.server, "response")
			assertRead(t, l.client, "res")
			assertReset(t, l.client)
		}},
		{"reset", condition{mode: reset}, func(t *testing.T, l linkEnds) {
			write(t, l.client, "request")
			assertReset(t, l.server)
			assertReset(t, l.client)
		}},
		{"reset at a response", condition{mode: resetResponse}, func(t *testing.T, l linkEnds) {
			write(t, l.client, "request")
			assertRead(t, l.server, "request")
			write(t, l.server, "response")
			assertReset(t, l.client)
		}},
		{"dropped for good", condition{mode: blackhole}, func(t *testing.T, l linkEnds) {
			write(t, l.client, "request")
			assertSilent(t, l.server)
			l.proxy.setMode(pass)
			write(t, l.client, "later")
			assertRead(t, l.server, "later")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := openLink(t)
			l.proxy.setCondition(test.condition)
			test.play(t, l)
		})
	}
}
