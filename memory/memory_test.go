package memory

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Guards against a host that runs out of memory because many buffers grow at once, and
// against bytes that stay reserved for good.
func TestBuffersStayWithinLimit(t *testing.T) {
	limit := NewLimit(1 << 20)
	content := bytes.Repeat([]byte("x"), 100<<10)
	var buffers []*Buffer
	complete := 0
	for range 50 {
		buffer := NewBuffer(limit)
		buffers = append(buffers, buffer)
		isComplete, err := buffer.Fill(bytes.NewReader(content), 1<<20, -1)
		assert.NilError(t, err)
		assert.Assert(t, limit.Used() <= 1<<20)
		if isComplete {
			complete++
			assert.DeepEqual(t, buffer.Bytes(), content)
		}
	}
	assert.Assert(t, complete >= 5 && complete <= 10, "%d", complete)
	assert.Assert(t, limit.Refused() > 0)
	for _, buffer := range buffers {
		buffer.Release()
		buffer.Release()
	}
	assert.Equal(t, limit.Used(), int64(0))
}

// Guards against content that is lost or doubled at the boundaries of a buffer.
func TestFillKeepsWhatItRead(t *testing.T) {
	const maxBytes = 10000
	for _, length := range []int{0, 1, freeBytes - 1, freeBytes, freeBytes + 1, maxBytes - 1, maxBytes, maxBytes + 1, 3 * maxBytes} {
		for _, expected := range []int64{-1, int64(length)} {
			source := strings.NewReader(strings.Repeat("abc", length)[:length])
			buffer := NewBuffer(nil)
			isComplete, err := buffer.Fill(source, maxBytes, expected)
			assert.NilError(t, err)
			assert.Equal(t, isComplete, length <= maxBytes, "length %d", length)
			assert.Equal(t, len(buffer.Bytes())+source.Len(), length)
		}
	}
}

// Guards against an error of the source that passes for the end of the content.
func TestFillReturnsErrorOfSource(t *testing.T) {
	cause := errors.New("reset")
	_, err := NewBuffer(nil).Fill(iotest.ErrReader(cause), 10, -1)
	assert.ErrorIs(t, err, cause)
}

// Guards against appended content beyond the bound or the limit.
func TestAppendRefusesWhatDoesNotFit(t *testing.T) {
	limit := NewLimit(8 << 10)
	buffer := NewBuffer(limit)
	assert.Assert(t, buffer.Append(make([]byte, 6<<10), 1<<20))
	assert.Assert(t, !buffer.Append(make([]byte, 6<<10), 1<<20), "beyond the limit")
	assert.Assert(t, !NewBuffer(nil).Append(make([]byte, 11), 10), "beyond the bound")
	assert.Equal(t, len(buffer.Bytes()), 6<<10)
}
