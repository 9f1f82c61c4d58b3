package main

// version is the release that this tree leads to.
const version = "0.1.0"
