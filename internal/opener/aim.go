package opener

import "time"

const (
	// aimTolerance is the most by which the aims differ that the requests of one program
	// state: they are in milliseconds, and clocks run at slightly different rates.
	aimTolerance = 500 * time.Millisecond
	// MinReach is the Reach of a right whose holder has seen no program yet. After the loss of a
	// holder and its witnesses, programs that begin within the reach cannot be told from those
	// that the holder opened.
	MinReach = 4 * time.Second
	// MaxReach is the longest Reach. Programs with later aims are not opened.
	MaxReach = 2 * time.Minute
)

// Aim is the time at which a program should end, as a request states it. It is the same in
// all requests of a program until the program is told that its budget is spent.
type Aim struct {
	// left is the time left when the request was sent, zero if the aim is unknown or over,
	// and timeout the longest time since then.
	left, timeout time.Duration
	receivedAt    time.Time
}

// NewAim returns the aim that a request states. Left is the time left until then, and timeout
// that for which its caller waits.
func NewAim(left, timeout time.Duration, receivedAt time.Time) Aim {
	if left <= aimTolerance || timeout <= 0 {
		return Aim{}
	}
	return Aim{left: left, timeout: timeout, receivedAt: receivedAt}
}

// isWithin reports whether the aim is known and no later than the time.
func (a Aim) isWithin(end time.Time) bool {
	return a.left > 0 && !a.receivedAt.Add(a.left).After(end)
}

// isAfter reports whether the aim is known and later than the time.
func (a Aim) isAfter(t time.Time) bool {
	return a.left > 0 && a.receivedAt.Add(a.left-a.timeout-aimTolerance).After(t)
}

// ReachFor returns the Reach that suffices for programs with the time left: few different
// values, so that rights are rarely written.
func ReachFor(left time.Duration) time.Duration {
	reach := MinReach
	for reach < left && reach < MaxReach {
		reach *= 2
	}
	return min(reach, MaxReach)
}
