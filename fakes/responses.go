package fakes

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"filberthold/model"
)

// DefaultExportBytes is the size of an export.
const DefaultExportBytes = 1 << 20

// ShortResponse returns the response to a read or a submit. It depends on the
// path and the body only, so that a caller can detect the response to another
// request.
func ShortResponse(path string, body []byte) []byte {
	digest := sha256.Sum256(append([]byte(path+"\n"), body...))
	return fmt.Appendf(nil, "%s %s\n", path, hex.EncodeToString(digest[:8]))
}

// ExportContent returns the bytes of an export, which depend on its path only.
func ExportContent(path string, size int) []byte {
	digest := sha256.Sum256([]byte(path))
	content := make([]byte, size)
	for i := range content {
		content[i] = digest[i%len(digest)] + byte(i>>8)
	}
	return content
}

// IsCompleteResponse reports whether a body is the complete and correct
// response to a job. An export must have the given size.
func IsCompleteResponse(job Job, body []byte, exportBytes int) bool {
	if job.Class == model.Export {
		return len(body) == exportBytes && bytes.Equal(body, ExportContent(job.Path, exportBytes))
	}
	return bytes.Equal(body, ShortResponse(job.Path, job.Body))
}
