// Command standin holds the stand-ins of the systems around trefoilspring and
// the tools that send load and judge its outcome.
package main

func main() {}
