package main

// The hosts need a program that is linked against the C library.
import _ "runtime/cgo"
