package relayer

import "testing"

// Instances that each keep a number of idle connections of their own took more than an
// endpoint accepts: 195 of them with 8 each, where an endpoint accepts 1,100.
func TestIdleConnectionsOfAllInstancesLeaveRoom(t *testing.T) {
	for _, test := range []struct{ maxConnections, instances int }{
		{180, 12},
		{450, 68},
		{1100, 195},
		{1100, 360},
	} {
		perInstance := maxIdleConnections(test.maxConnections, test.instances)
		if perInstance < 1 || perInstance*test.instances > test.maxConnections/2 {
			t.Errorf("%d instances keep %d connections each of %d", test.instances, perInstance, test.maxConnections)
		}
	}
	if n := maxIdleConnections(0, 12); n != 0 {
		t.Errorf("%d although the service states no limit", n)
	}
}
