package accepter_test

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/accepter"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// failing fails to accept with each of the errors and then until it is closed.
type failing struct {
	net.Listener
	errs   []error
	closed chan struct{}
}

func (f *failing) Addr() net.Addr { return &net.TCPAddr{} }

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

func (f *failing) Close() error {
	close(f.closed)
	return nil
}

// Guards against the end of the process on an error of accept that net does not call temporary.
func TestFailedAcceptDoesNotEndTheListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &failing{errs: []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.EPROTO}, closed: make(chan struct{})}
		begun := time.Now()
		conn, err := accepter.New(inner, logger.Discard()).Accept()
		if err != nil || conn == nil {
			t.Fatalf("connection %v, %v", conn, err)
		}
		if took := time.Since(begun); took < 50*time.Millisecond || took > time.Second {
			t.Errorf("four failures took %v", took)
		}
	})
}

func TestCloseEndsTheRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &failing{closed: make(chan struct{})}
		for range 1000 {
			inner.errs = append(inner.errs, syscall.ENOMEM)
		}
		listener := accepter.New(inner, logger.Discard())
		ended := make(chan error, 1)
		go func() {
			_, err := listener.Accept()
			ended <- err
		}()
		time.Sleep(3 * time.Second)
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v", err)
		}
	})
}
