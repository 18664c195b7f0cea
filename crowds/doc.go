// Package crowds contains tests that send crowds of misbehaving clients to a host: a
// process of its own, with all its listeners.
package crowds
