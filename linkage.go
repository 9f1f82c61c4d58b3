package main

// The blank line below keeps this comment out of the C code: the platform runs
// programs that are linked to the C library, which cgo brings.

import "C"
