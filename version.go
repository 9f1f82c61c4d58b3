package main

// version is the number of the release that this tree is developed towards;
// --version prints it.
const version = "0.1.0"
