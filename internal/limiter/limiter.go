// Package limiter bounds retries per business, the requests admitted to a queue
// by their expected wait, and the concurrent generations per endpoint. It starts
// no timers; callers pass the time in. None of its types is safe for concurrent
// use.
package limiter
