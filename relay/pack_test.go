package relay

import (
	"context"
	"strings"
	"testing"
	"time"

	"filberthold/platform"

	"gotest.tools/v3/assert"
)

// Guards against a compressed value that differs after its transfer, and against one
// that changes in the cache when it is sent.
func TestLargeValuesArriveUnchanged(t *testing.T) {
	operator, endpoints, address := startHandler(t)
	large := []byte(strings.Repeat("route,", minPackedBytes))
	small := []byte("zone")
	operator.Put(platform.Row{Key: "config", Value: large, Version: at(1)}, true)
	operator.Put(platform.Row{Key: "evacuate", Value: small, Version: at(2)}, true)
	operator.Confirm(at(2), time.Now())
	endpoints.Confirm(at(2), time.Now())
	for range 2 {
		update, err := NewClient(time.Second).Poll(context.Background(), address, platform.Version{}, platform.Version{})
		assert.NilError(t, err)
		assert.DeepEqual(t, update.Operator.Rows[0].Value, large)
		assert.DeepEqual(t, update.Operator.Rows[1].Value, small)
	}
}

// Guards against one compression for each host that polls a value, which takes longer
// than the time to apply a configuration on a slow host.
func TestValueIsCompressedOnce(t *testing.T) {
	packer := &packer{}
	value := []byte(strings.Repeat("route,", minPackedBytes))
	var contents [2][]byte
	for i := range contents {
		changes := &Changes{Rows: []platform.Row{{Key: "config", Value: value}}}
		assert.NilError(t, packer.pack(changes))
		contents[i] = changes.Packed[0].Content
	}
	assert.Equal(t, &contents[0][0], &contents[1][0])
	assert.Assert(t, len(contents[0]) < len(value)/10)
}

// Guards against a panic of a host that receives the index of no row.
func TestPackedValueWithoutRowIsRejected(t *testing.T) {
	changes := &Changes{Packed: []packedValue{{Row: 1}}}
	assert.ErrorContains(t, changes.unpack(), "no row has the index 1")
}
