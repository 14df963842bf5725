package limiter

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultRetryShare is the share of requests that may be retried if the
	// business configures none.
	defaultRetryShare = 0.1
	// retryBurst is the capacity of a business's token bucket.
	retryBurst = 10
	// retryRefillInterval is the time in which a business earns one retry without
	// sending requests, so that one with little traffic can retry too.
	retryRefillInterval = 10 * time.Second
	// minBackoffBound is the upper bound of the wait before the first retry;
	// maxBackoffBound is the upper bound of any wait.
	minBackoffBound = 50 * time.Millisecond
	maxBackoffBound = 5 * time.Second
)

// RetryBudget bounds the retries of each business to a share of its requests.
type RetryBudget struct {
	random  *rand.Rand
	buckets map[string]*retryBucket
}

type retryBucket struct {
	retries  float64
	refilled time.Time
}

// NewRetryBudget returns a RetryBudget; seed initializes the random number
// generator of the backoff.
func NewRetryBudget(seed uint64) *RetryBudget {
	return &RetryBudget{
		random:  rand.New(rand.NewPCG(seed, seed)),
		buckets: make(map[string]*retryBucket),
	}
}

// Earn adds share retries to the business's budget; it is called for each first
// attempt. A share of zero or less means defaultRetryShare.
func (b *RetryBudget) Earn(now time.Time, business string, share float64) {
	if share <= 0 {
		share = defaultRetryShare
	}
	bucket := b.bucket(now, business)
	bucket.retries = min(bucket.retries+share, retryBurst)
}

// Spend takes one retry from the business's budget. It returns false if less than
// one is left.
func (b *RetryBudget) Spend(now time.Time, business string) bool {
	bucket := b.bucket(now, business)
	if bucket.retries < 1 {
		return false
	}
	bucket.retries--
	return true
}

// Backoff returns the wait before the retry with the number, from 1. It is
// uniformly distributed between zero and a bound that doubles with each retry.
func (b *RetryBudget) Backoff(retry int) time.Duration {
	bound := minBackoffBound
	for i := 1; i < retry && bound < maxBackoffBound; i++ {
		bound *= 2
	}
	return time.Duration(b.random.Int64N(int64(min(bound, maxBackoffBound))))
}

// bucket returns the business's bucket, refilled up to now.
func (b *RetryBudget) bucket(now time.Time, business string) *retryBucket {
	bucket, ok := b.buckets[business]
	if !ok {
		bucket = &retryBucket{retries: retryBurst, refilled: now}
		b.buckets[business] = bucket
	}
	if elapsed := now.Sub(bucket.refilled); elapsed > 0 {
		earned := float64(elapsed) / float64(retryRefillInterval)
		bucket.retries = min(bucket.retries+earned, retryBurst)
		bucket.refilled = now
	}
	return bucket
}
