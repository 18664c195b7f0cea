package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"filberthold/model"
	"filberthold/ring"

	"github.com/quic-go/quic-go"
)

const (
	// maxQueuedFrames bounds the frames that wait for a stream. A frame that
	// does not fit is dropped; digests cause revisions and marks to be sent
	// again.
	maxQueuedFrames = 8
	// streamTimeout bounds the time for one frame on a stream, so that a
	// stalled peer does not hold memory.
	streamTimeout = 10 * time.Second
)

// link is a connection to one peer. Digests are sent in datagrams, because the
// next digest replaces a lost one. Each other frame is sent on its own stream.
type link struct {
	mesh *Mesh
	conn *quic.Conn
	// dialled is true if this host opened the connection.
	dialled  bool
	outgoing *ring.Ring[[]byte]
	// host and incarnation are empty until the first digest has arrived. They
	// are guarded by the mutex of the mesh.
	host        model.HostName
	incarnation string
}

func newLink(mesh *Mesh, conn *quic.Conn, dialled bool) *link {
	return &link{mesh: mesh, conn: conn, dialled: dialled, outgoing: ring.New[[]byte](maxQueuedFrames)}
}

// send sends a digest or queues another frame, without blocking.
func (l *link) send(frame Frame) {
	data, err := encodeFrame(frame)
	if err != nil {
		l.mesh.log.Error("frame not sent", "error", err)
		return
	}
	if _, isDigest := frame.(Digest); isDigest {
		if err := l.conn.SendDatagram(data); err != nil {
			l.mesh.log.Debug("digest not sent", "peer", l.conn.RemoteAddr(), "error", err)
		}
		return
	}
	if !l.outgoing.TryPut(data) {
		l.mesh.log.Warn("frame dropped: peer is slow", "peer", l.conn.RemoteAddr(), "kind", frame.kind())
	}
}

func (l *link) close(reason string) { _ = l.conn.CloseWithError(0, reason) }

// sendLoop writes frames to streams, one after the other.
func (l *link) sendLoop(ctx context.Context) error {
	for {
		data, err := l.outgoing.Get(ctx)
		if err != nil {
			return fmt.Errorf("wait for frame: %w", err)
		}
		stream, err := l.conn.OpenUniStreamSync(ctx)
		if err != nil {
			return fmt.Errorf("open stream: %w", err)
		}
		if err := stream.SetWriteDeadline(time.Now().Add(streamTimeout)); err != nil {
			return fmt.Errorf("set deadline of stream: %w", err)
		}
		if _, err := stream.Write(data); err != nil {
			return fmt.Errorf("write frame: %w", err)
		}
		if err := stream.Close(); err != nil {
			return fmt.Errorf("close stream: %w", err)
		}
	}
}

// streamLoop reads frames from streams, one stream at a time.
func (l *link) streamLoop(ctx context.Context) error {
	for {
		stream, err := l.conn.AcceptUniStream(ctx)
		if err != nil {
			return fmt.Errorf("accept stream: %w", err)
		}
		if err := stream.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
			return fmt.Errorf("set deadline of stream: %w", err)
		}
		data, err := io.ReadAll(io.LimitReader(stream, maxFrameBytes+1))
		if err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		if len(data) > maxFrameBytes {
			return fmt.Errorf("frame is longer than %d bytes", maxFrameBytes)
		}
		if err := l.receive(ctx, data); err != nil {
			return err
		}
	}
}

// datagramLoop reads digests.
func (l *link) datagramLoop(ctx context.Context) error {
	for {
		data, err := l.conn.ReceiveDatagram(ctx)
		if err != nil {
			return fmt.Errorf("receive datagram: %w", err)
		}
		if len(data) > maxDigestBytes {
			return fmt.Errorf("digest of %d bytes", len(data))
		}
		if err := l.receive(ctx, data); err != nil {
			return err
		}
	}
}

func (l *link) receive(ctx context.Context, data []byte) error {
	frame, err := l.mesh.decoder.decode(data)
	if errors.Is(err, ErrUnknownKind) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("frame from %v: %w", l.conn.RemoteAddr(), err)
	}
	return l.mesh.receive(ctx, l, frame)
}
