package caller

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// chunkBytes bounds one write to a caller, which must end within
	// callerTimeout. It is also the size of an export's copy buffer.
	chunkBytes = 32 << 10
	// callerTimeout bounds the time of one write to a caller, and the time in
	// which a caller must send a request body. Meanwhile an export occupies a slot
	// of the upstream, and a graceful shutdown waits for the request.
	callerTimeout = 30 * time.Second
)

// writeChunks writes data to a caller with a deadline for each chunk. It calls
// check after setting each deadline and stops if check fails. Without data it
// writes only the header.
func writeChunks(w http.ResponseWriter, data []byte, check func() error) (written int, err error) {
	control := http.NewResponseController(w)
	for {
		_ = control.SetWriteDeadline(time.Now().Add(callerTimeout))
		if err := check(); err != nil {
			return written, err
		}
		count, err := w.Write(data[written:min(len(data), written+chunkBytes)])
		written += count
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			return written, fmt.Errorf("write to caller: %w", err)
		}
		if written >= len(data) {
			return written, nil
		}
	}
}
