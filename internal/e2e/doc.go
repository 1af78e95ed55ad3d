// Package e2e tests the guarantees of the system under failure. Its tests run the built program as separate processes on
// loopback, with the stand-in store and stand-in upstreams, and kill, pause and disconnect these processes while callers
// send load. The counters of the upstreams are the reference for which tasks were started. docs/guarantees.md lists which
// test covers which guarantee.
package e2e
