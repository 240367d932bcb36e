// Package bench holds the benchmarks of a single router beside the same engine
// without one; the packages below it hold the experiments with a whole fleet.
package bench
