package upstrm

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/time/rate"
)

const (
	// exportFraction is the fraction of the link share that exports may use. The
	// rest is reserved for reads and submits.
	exportFraction = 0.7
	// maxReadBytes bounds one read of a paced body. Small reads let concurrent exports
	// progress in turn.
	maxReadBytes = 16 << 10
	// burstTime is the size of the token bucket in time at the full rate. A smaller
	// bucket loses throughput: timers fire up to about a millisecond late, and a
	// full bucket gets no tokens meanwhile.
	burstTime = 5 * time.Millisecond
)

// pacer is the token bucket that all exports of a host share.
type pacer struct{ limiter *rate.Limiter }

func newPacer() *pacer { return &pacer{limiter: rate.NewLimiter(rate.Inf, maxReadBytes)} }

// setLinkShare sets the host's share of the link. If it is 0, the share is unknown
// and exports are not paced.
func (p *pacer) setLinkShare(bitsPerSecond int64) {
	if bitsPerSecond <= 0 {
		p.limiter.SetLimit(rate.Inf)
		return
	}
	bytesPerSecond := exportFraction * float64(bitsPerSecond) / 8
	// The bucket must have room for the tokens of the largest read, or WaitN fails.
	p.limiter.SetBurst(max(maxReadBytes, int(bytesPerSecond*burstTime.Seconds())))
	p.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// pacedBody takes a token for each byte that it returns. The wait for tokens does
// not count as a stall: the progress timeout covers only the reads of the inner
// body.
type pacedBody struct {
	io.ReadCloser
	ctx   context.Context
	pacer *pacer
}

// Read implements io.Reader.
func (b *pacedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer[:min(len(buffer), maxReadBytes)])
	if waitErr := b.pacer.limiter.WaitN(b.ctx, count); waitErr != nil && err == nil {
		return count, fmt.Errorf("wait for the link share: %w", waitErr)
	}
	return count, err
}

// SetLinkShare sets the host's share of the link to the upstreams. All exports of
// the host together use at most 70% of it.
func (c *Client) SetLinkShare(bitsPerSecond int64) { c.pacer.setLinkShare(bitsPerSecond) }
