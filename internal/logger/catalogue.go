package logger

import (
	"fmt"
	"strings"
)

// Catalogue returns all defined events as a Markdown table.
func Catalogue() string {
	var b strings.Builder
	b.WriteString("| Event | Name | Level | Message | What to do |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range Events() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Message, e.Action)
	}
	return b.String()
}
