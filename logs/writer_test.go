package logs

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against lines that are lost or reordered, also those that are buffered when
// Run ends.
func TestRunWritesAllLinesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		writer := NewWriter(&out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- writer.Run(ctx) }()
		for _, line := range []string{"a\n", "b\n"} {
			_, err := writer.Write([]byte(line))
			assert.NilError(t, err)
		}
		time.Sleep(2 * flushInterval)
		_, err := writer.Write([]byte("c\n"))
		assert.NilError(t, err)
		cancel()
		assert.NilError(t, <-done)
		assert.Equal(t, out.String(), "a\nb\nc\n")
	})
}

// Guards against a Write that blocks while the buffer is full, which would delay
// requests, and against dropped lines that are not counted and logged.
func TestFullBufferDropsAndReportsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		writer := NewWriter(&out)
		for range capacity + 5 {
			_, err := writer.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, writer.Dropped(), uint64(5))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- writer.Run(ctx) }()
		time.Sleep(3 * flushInterval)
		cancel()
		assert.NilError(t, <-done)
		assert.Equal(t, strings.Count(out.String(), "line\n"), capacity)
		assert.Assert(t, strings.Contains(out.String(), `"msg":"log lines dropped","count":5`))
	})
}
