//go:build !linux

package soak

// waitStopped does not wait: the state of a child process is read on Linux only.
func waitStopped(int) error { return nil }
