package caller_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// BenchmarkStoreWrites reports the store writes for each submit at one host,
// with 1, 8 and 64 submits in progress, for a store without delay, in another
// availability zone and in another region.
func BenchmarkStoreWrites(b *testing.B) {
	for _, delay := range []time.Duration{0, 6 * time.Millisecond, 110 * time.Millisecond} {
		for _, callers := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("roundTrip=%s/callers=%d", delay, callers), func(b *testing.B) {
				c := startCluster(b, 1, 64, 0)
				c.stores[0].setFault(func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(delay)
					c.platform.ServeHTTP(w, r)
				})
				writes := c.platform.Writes()
				until := time.Now().Add(10 * time.Minute)
				var next atomic.Int64
				var running sync.WaitGroup
				for range callers {
					running.Go(func() {
						for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
							outcome, body := c.submit(b.Context(), 0, fmt.Sprint(i), until)
							assert.Check(b, outcome == model.Served, "%s", body)
						}
					})
				}
				running.Wait()
				b.StopTimer()
				// A repeat waits until the response is stored and writes nothing.
				for i := max(1, b.N-callers); i <= b.N; i++ {
					c.submit(b.Context(), 0, fmt.Sprint(i), until)
				}
				b.ReportMetric(float64(c.platform.Writes()-writes)/float64(b.N), "writes/submit")
			})
		}
	}
}
