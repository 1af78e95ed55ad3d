// Package e2e proves the promises of the system under failure. Its tests run the built program as separate processes on
// loopback, with the stand-in store and stand-in upstreams, and kill, freeze and cut them off while callers send load. The
// counters of the upstreams decide what was started. docs/guarantees.md lists which test proves which promise.
package e2e
