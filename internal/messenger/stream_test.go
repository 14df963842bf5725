package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/messenger"
)

// A stream carries messages in both directions; its end at either side ends it at the other.
func TestStreamsCarryMessagesBothWaysUntilClosed(t *testing.T) {
	ended := make(chan struct{}, 1)
	server, err := messenger.NewServer(nil, messenger.WithStreams(map[string]messenger.StreamHandler{
		"Echo": func(_ context.Context, s *messenger.Stream, first []byte) error {
			message := first
			for {
				if err := s.Send(message); err != nil {
					ended <- struct{}{}
					return err
				}
				next, err := s.Receive()
				if err != nil {
					ended <- struct{}{}
					return nil
				}
				if string(next) == "end" {
					return nil
				}
				message = next
			}
		},
	}))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
	client := messenger.NewClient()
	defer client.Close()
	for _, isServersEnd := range []bool{false, true} {
		s, err := client.Open(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), "Echo", []byte("first"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Receive(); err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"one", "two"} {
			if err := s.Send([]byte(want)); err != nil {
				t.Fatal(err)
			}
			got, err := s.Receive()
			if diff := cmp.Diff(want, string(got)); err != nil || diff != "" {
				t.Errorf("%v %s", err, diff)
			}
		}
		if isServersEnd {
			if err := s.Send([]byte("end")); err != nil {
				t.Fatal(err)
			}
			if _, err := s.Receive(); err == nil {
				t.Error("the stream goes on after its server has ended it")
			}
			s.Close()
			continue
		}
		s.Close()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Error("the server's stream goes on after its client has closed it")
		}
	}
}
