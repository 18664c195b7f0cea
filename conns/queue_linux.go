package conns

import "golang.org/x/sys/unix"

// unsentBytes returns the number of bytes in a socket's send queue, or unknownBytes. They
// are sent and not acknowledged, or not sent.
func unsentBytes(descriptor int) int64 {
	count, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
	if err != nil {
		return unknownBytes
	}
	return int64(count)
}
