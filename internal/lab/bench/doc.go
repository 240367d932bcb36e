// Package bench benchmarks a single router against direct access to the same
// engine. Its subpackages run experiments with a whole fleet.
package bench
