package main

// The hosts of the users' platform require a program that is linked against the
// C library.
import _ "runtime/cgo"
