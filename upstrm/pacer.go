package upstrm

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/time/rate"
)

const (
	// exportShare is the part of the link share that exports may use. The rest
	// is reserved for short work.
	exportShare = 0.7
	// pieceBytes bounds one read of a paced body, so that exports take turns.
	pieceBytes = 16 << 10
	// burstTime sets the size of the bucket. A shorter one loses throughput,
	// because timers fire up to about a millisecond late and the tokens of a
	// full bucket are lost.
	burstTime = 5 * time.Millisecond
)

// pacer is the token bucket that all exports of a host share.
type pacer struct{ limiter *rate.Limiter }

func newPacer() *pacer { return &pacer{limiter: rate.NewLimiter(rate.Inf, pieceBytes)} }

// setLinkShare sets the host's share of the link; 0 means that it is not known
// and that exports are not paced.
func (p *pacer) setLinkShare(bitsPerSecond int64) {
	if bitsPerSecond <= 0 {
		p.limiter.SetLimit(rate.Inf)
		return
	}
	bytesPerSecond := exportShare * float64(bitsPerSecond) / 8
	// The bucket is never smaller than a piece, which could not be taken then.
	p.limiter.SetBurst(max(pieceBytes, int(bytesPerSecond*burstTime.Seconds())))
	p.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// pacedBody takes a token for each byte that it returns. Waiting is not a lack
// of progress: the progress deadline covers the reads of the inner body only.
type pacedBody struct {
	io.ReadCloser
	ctx   context.Context
	pacer *pacer
}

// Read implements io.Reader.
func (b *pacedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer[:min(len(buffer), pieceBytes)])
	if waitErr := b.pacer.limiter.WaitN(b.ctx, count); waitErr != nil && err == nil {
		return count, fmt.Errorf("wait for the link share: %w", waitErr)
	}
	return count, err
}

// SetLinkShare sets the host's share of the link to the upstreams. Exports
// together use at most 70% of it.
func (c *Client) SetLinkShare(bitsPerSecond int64) { c.pacer.setLinkShare(bitsPerSecond) }
