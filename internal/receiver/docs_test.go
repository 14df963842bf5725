package receiver_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

func TestAPIPageHasTheTableOfKinds(t *testing.T) {
	page, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(page), "| Kind | Status | Ran | May succeed later |\n| --- | --- | --- | --- |\n")
	got, _, _ := strings.Cut(after, "\n\n")
	var want strings.Builder
	for _, row := range answerer.Table() {
		later := map[bool]string{false: "no", true: "yes"}[row.Retryable]
		fmt.Fprintf(&want, "| %s | %d | %s | %s |\n", row.Kind, row.Status, row.Ran, later)
	}
	if diff := cmp.Diff(strings.TrimSpace(want.String()), got); diff != "" {
		t.Error(diff)
	}
}
