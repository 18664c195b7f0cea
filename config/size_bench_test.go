package config_test

import (
	"fmt"
	"testing"

	"filberthold/config"
	deploy "filberthold/deployments"

	"gotest.tools/v3/assert"
)

// Measures the time and memory that a host needs to parse a new revision with
// three numbers of client blocks, for docs/CAPACITY.md. blocks=130000 is the
// planned size.
func BenchmarkParseDeployment(b *testing.B) {
	for _, blocks := range []int{32500, 65000, 130000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			document, err := deploy.Load("hlukodenik")
			assert.NilError(b, err)
			document.Blocks = nil
			for i := range blocks {
				document.Blocks = append(document.Blocks, config.BlockDocument{
					Prefix: fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&255, i&255),
					Site:   document.Hosts[i%len(document.Hosts)].Site,
				})
			}
			text, err := config.Encode(document)
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, err := config.ParseDeployment("bench", text, 1)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(text)), "bytes/revision")
		})
	}
}
