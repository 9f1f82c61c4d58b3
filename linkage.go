package main

// Importing "C" makes the build use cgo and so links the program to the C library,
// as the users' platform requires of the programs that it runs. The blank line
// below keeps cgo from compiling this comment as C code.

import "C"
