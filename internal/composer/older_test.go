package composer_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// Guards against a refusal with 401 or 404 of what the newest configuration allows, by an instance
// that has not read it for longer than ConfigurationDeadline (LOST, play "stale" of review/).
func TestOlderConfigurationDoesNotDenyNewRoutesAndKeys(t *testing.T) {
	t.Parallel()
	const newKey, newPrefix = "sk-acme-2", "/new/"
	f := newAccountFleet(t, 1)
	in := f.instances[0]
	statusOf := func(path, key string) int {
		return f.do(in, standin.Call{ID: fmt.Sprint("o-", time.Now().UnixNano()), Path: path, Key: key}).Status
	}
	if diff := cmp.Diff([]int{http.StatusUnauthorized, http.StatusNotFound}, []int{f.statusOf(in, newKey), statusOf(newPrefix, "sk-acme-1")}); diff != "" {
		t.Error(diff)
	}
	f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
	f.awaitStatus(in, newKey, http.StatusServiceUnavailable)
	f.await("the unknown route is not denied", func() bool { return statusOf(newPrefix, "sk-acme-1") == http.StatusServiceUnavailable })
	f.awaitStatus(in, "sk-acme-1", http.StatusOK)
	if err := standin.WriteAccounts(f.rows, 3, accounts([]string{newKey}, nil), newPrefix); err != nil {
		t.Fatal(err)
	}
	f.rows.SetFaults(fakeplatform.RowFaults{})
	f.await("the new key is valid", func() bool {
		status := f.statusOf(in, newKey)
		if status == http.StatusUnauthorized {
			t.Errorf("the new key is denied")
		}
		return status == http.StatusOK
	})
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusNotFound}, []int{statusOf(newPrefix, newKey), statusOf("/none/", newKey)}); diff != "" {
		t.Error(diff)
	}
}
