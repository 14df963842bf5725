package fakeengine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

const testBlock = 4

// words returns n tokens that begin alike for the same stem.
func words(stem string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprint(stem, i)
	}
	return all
}

func ignoreChange(string, string, int) {}

func TestMatchFindsTheLongestPrefixOfWholeBlocks(t *testing.T) {
	c := newCache(64, testBlock, ignoreChange)
	c.store("p", blockHashes("n", words("w", 11), testBlock))
	tests := []struct {
		name   string
		tokens []string
		space  string
		want   int
	}{
		{"longer", words("w", 30), "n", 8},
		{"shorter", words("w", 5), "n", 4},
		{"diverging", append(words("w", 6), words("v", 6)...), "n", 4},
		{"other namespace", words("w", 11), "m", 0},
		{"shifted", words("w", 11)[1:], "n", 0},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, c.match(blockHashes(test.space, test.tokens, testBlock))); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

func TestEvictionTakesTheLeastRecentlyUsedFromItsEnd(t *testing.T) {
	c := newCache(5*testBlock, testBlock, ignoreChange)
	old := blockHashes("n", words("old", 3*testBlock), testBlock)
	young := blockHashes("n", words("young", 3*testBlock), testBlock)
	c.store("old", old)
	c.store("young", young)
	if diff := cmp.Diff([]int{2 * testBlock, 3 * testBlock}, []int{c.match(old), c.match(young)}); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(0, c.recomputed(young)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(testBlock, c.recomputed(old)); diff != "" {
		t.Error(diff)
	}
}

func TestReleaseKeepsWhatOthersHold(t *testing.T) {
	c := newCache(100*testBlock, testBlock, ignoreChange)
	shared := words("s", 2*testBlock)
	p := blockHashes("n", append(shared, words("p", testBlock)...), testBlock)
	q := blockHashes("n", append(shared, words("q", testBlock)...), testBlock)
	c.store("p", p)
	c.store("q", q)
	c.release("p")
	c.release("p")
	if diff := cmp.Diff([]int{2 * testBlock, 3 * testBlock}, []int{c.match(p), c.match(q)}); diff != "" {
		t.Error(diff)
	}
	want := []generator.Holding{{Program: "q", Tokens: 3 * testBlock}}
	if diff := cmp.Diff(want, c.holdings()); diff != "" {
		t.Error(diff)
	}
}

// The sum of a program's events is what it holds, and no more is held than fits.
func TestEventsAddUpToHoldings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sums := map[string]int{}
		c := newCache(8*testBlock, testBlock, func(program, change string, tokens int) {
			if change == changeEvicted {
				tokens = -tokens
			}
			sums[program] += tokens
		})
		t.Repeat(map[string]func(*rapid.T){
			"store": func(t *rapid.T) {
				stems := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 12).Draw(t, "stems")
				program := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "program")
				hashes := blockHashes("n", strings.Split(strings.Repeat(strings.Join(stems, " ")+" ", testBlock), " "), testBlock)
				c.store(program, hashes)
				if want := min(len(hashes), 8) * testBlock; c.match(hashes) != want {
					t.Errorf("matched %d tokens of a prefix just stored, want %d", c.match(hashes), want)
				}
			},
			"release": func(t *rapid.T) {
				c.release(rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "program"))
			},
			"": func(t *rapid.T) { checkCache(t, c, sums) },
		})
	})
}

func checkCache(t *rapid.T, c *cache, sums map[string]int) {
	held := map[string]int{}
	for _, h := range c.holdings() {
		held[h.Program] = h.Tokens
	}
	for program, sum := range sums {
		if sum != held[program] {
			t.Errorf("%s holds %d tokens, its events add up to %d", program, held[program], sum)
		}
	}
	if c.tokens() > 8*testBlock || c.recency.Len() != len(c.blocks) {
		t.Errorf("%d tokens in %d blocks, %d in order", c.tokens(), len(c.blocks), c.recency.Len())
	}
	for _, b := range c.blocks {
		if len(b.programs) == 0 {
			t.Error("a block without a holder stayed")
		}
	}
}

func TestTextOfRangesConcatenatesToTheWhole(t *testing.T) {
	messages := []generator.Message{{Role: "User", Text: "first"}, {Role: "User", Text: "last one"}}
	whole := Text(3, messages, 0, 20)
	if diff := cmp.Diff(whole, Text(3, messages, 0, 7)+Text(3, messages, 7, 8)+Text(3, messages, 8, 20)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{Digest("last one"), Digest("first")}, strings.Fields(whole)[:2]); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(20, CountTokens(whole)); diff != "" {
		t.Error(diff)
	}
	if whole == Text(4, messages, 0, 20) {
		t.Error("two seeds gave the same output")
	}
}
