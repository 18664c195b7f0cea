package caller

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// pieceBytes is the part of a response that must be taken within
	// callerTimeout. It bounds the copy buffer of an export as well.
	pieceBytes = 32 << 10
	// callerTimeout bounds how long a caller may take no byte of a response,
	// and how long it may take to send a body. An export holds a slot of the
	// upstream meanwhile, and a planned stop waits for every request.
	callerTimeout = 30 * time.Second
)

// writePieces writes to a caller with a progress deadline for each piece. It
// calls proceed after it has set a deadline and stops if that fails. Without
// data it writes the header only.
func writePieces(w http.ResponseWriter, data []byte, proceed func() error) (written int, err error) {
	control := http.NewResponseController(w)
	for {
		_ = control.SetWriteDeadline(time.Now().Add(callerTimeout))
		if err := proceed(); err != nil {
			return written, err
		}
		count, err := w.Write(data[written:min(len(data), written+pieceBytes)])
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
