package registrar_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// The version of a stream without a record is that of the service only if there was no
// other for as long as the stream may have lasted.
func TestOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		type result struct {
			Version           string
			IsOnly, IsCertain bool
		}
		r := registrar.New()
		check := func(when string, want result) {
			t.Helper()
			version, isOnly, isCertain := r.OnlyVersion("s", time.Time{})
			if diff := cmp.Diff(want, result{version, isOnly, isCertain}); diff != "" {
				t.Errorf("%s: %s", when, diff)
			}
		}
		old, young := newEndpoint("a"), newEndpoint("b")
		old.Version, young.Version = "v1", "v1.1"
		other := newEndpoint("c")
		other.Service, other.Version = "t", "v7"
		check("nothing read", result{})
		r.Replace([]registrar.Endpoint{old, other})
		check("just read", result{"v1", true, false})
		time.Sleep(time.Minute)
		check("read for a minute", result{"v1", true, true})
		r.Replace([]registrar.Endpoint{old, young, other})
		check("two versions", result{})
		time.Sleep(time.Minute)
		r.Replace([]registrar.Endpoint{young, other})
		check("the first has just gone", result{})
		time.Sleep(time.Minute)
		check("the first is long gone", result{"v1.1", true, true})
	})
}

// An instance that stood still, or was cut off from the store, does not know which versions have
// joined meanwhile. It took the one that it knew for the only one, and streams that had begun
// elsewhere at a new one went on at it (ORDER).
func TestVersionIsUncertainWhileRegistrationsAreNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registrar.New()
		pass := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
				r.RecordRead(time.Now(), false)
			}
		}
		check := func(when string, want bool) {
			t.Helper()
			if _, _, isCertain := r.OnlyVersion("s", time.Now()); isCertain != want {
				t.Errorf("%s: certain %v, want %v", when, isCertain, want)
			}
		}
		r.Replace([]registrar.Endpoint{newEndpoint("a")})
		pass(time.Minute)
		r.RecordRead(time.Now(), false)
		check("just read", true)
		time.Sleep(time.Millisecond)
		check("a request has arrived since", false)
		time.Sleep(5 * time.Second)
		check("not read for 5 s", false)
		r.RecordRead(time.Now(), false)
		check("all changes since were read", true)
		r.RecordRead(time.Now(), true)
		check("a version may have come and gone", false)
		pass(time.Minute)
		r.RecordRead(time.Now(), false)
		check("read for a minute again", true)
	})
}
