// Package limiter owns the bounds on work: retries per business, admission by
// the wait that is expected, and concurrent generations per endpoint. It does
// not own the queue, the routing or any timer; callers pass the time in. None
// of its types is safe for concurrent use.
package limiter
