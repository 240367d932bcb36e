// Command damaskrouter is the router fleet's one binary.
package main

func main() {}
