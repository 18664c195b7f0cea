package upstrm_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/fakes"
	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// Guards against exports that together exceed their fraction of the link share,
// and against a new link share that does not apply to exports in flight.
func TestExportsStayWithinLinkShare(t *testing.T) {
	const shareBits, exportBytes = 8_000_000, 1 << 20
	allowed := 0.7 * shareBits / 8
	for _, count := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			upstream := newFixture(t, model.Export)
			upstream.Configure(fakes.Behaviour{ExportBytes: exportBytes})
			upstream.client.SetLinkShare(shareBits / 2)
			start := time.Now()
			// The link share doubles after 500 ms.
			time.AfterFunc(500*time.Millisecond, func() { upstream.client.SetLinkShare(shareBits) })
			var exports sync.WaitGroup
			for range count {
				exports.Go(func() { assert.Check(t, upstream.sendSubmit("k")) })
			}
			exports.Wait()
			want := float64(count*exportBytes)/allowed + 0.25
			got := time.Since(start).Seconds()
			assert.Assert(t, got > want*0.97 && got < want*1.03, "%d exports took %.3f s instead of %.3f s", count, got, want)
		})
	}
}

// BenchmarkPacedExport measures the throughput of a paced export over loopback TCP.
func BenchmarkPacedExport(b *testing.B) {
	const exportBytes = 8 << 20
	endpoint := model.NewEndpoint(model.EndpointSpec{Name: "e", Slots: 3})
	upstream := fakes.NewUpstream(endpoint, model.Export, fakes.NewCounters(), 0)
	upstream.Configure(fakes.Behaviour{ExportBytes: exportBytes})
	server := httptest.NewServer(upstream)
	b.Cleanup(server.Close)
	for _, megabits := range []int64{0, 23, 333, 4000} {
		b.Run(fmt.Sprintf("share=%dMbit", megabits), func(b *testing.B) {
			client := upstrm.NewClient("a")
			b.Cleanup(client.Close)
			client.SetLinkShare(megabits * 1_000_000)
			b.SetBytes(exportBytes)
			for b.Loop() {
				response, err := client.Do(b.Context(), upstrm.Request{
					Class: model.Export, Address: server.Listener.Addr().String(), Method: http.MethodGet, Path: "/x",
					Deadline: time.Now().Add(time.Minute),
				})
				assert.NilError(b, err)
				_, err = io.CopyBuffer(struct{ io.Writer }{io.Discard}, response.Body, make([]byte, 32<<10))
				assert.NilError(b, errors.Join(err, response.Body.Close()))
			}
			achieved := float64(exportBytes) * 8 * float64(b.N) / b.Elapsed().Seconds() / 1e6
			b.ReportMetric(achieved, "Mbit/s")
			b.ReportMetric(0.7*float64(megabits), "allowedMbit/s")
		})
	}
}
