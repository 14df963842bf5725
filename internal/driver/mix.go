package driver

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Range is drawn from evenly, both ends included.
type Range struct{ From, To int }

func (r Range) draw(random *rand.Rand) int {
	return r.From + random.IntN(r.To-r.From+1)
}

// Mix describes the programs of one kind and how often they arrive.
type Mix struct {
	Name     string
	Business string
	// Agent is empty for a mix that only calls a service.
	Agent string
	// Service is called with a key of its own; empty for none.
	Service string
	// Rate is in programs per second.
	Rate float64
	// Limit bounds the programs that arrive; zero means no bound.
	Limit int
	// Turns is per program; Input and Output are in tokens per turn.
	Turns  Range
	Input  Range
	Output Range
	// Pause is the time between turns, in milliseconds.
	Pause Range
	// Children is the number of sub-agents started half-way through a program.
	Children   Range
	ChildTurns Range
	// Calls is the number of service calls at the end of a program.
	Calls Range
}

// Mixes returns the mixes known by name, with a rate of zero.
func Mixes() []Mix {
	return []Mix{
		{
			// A bar host chooses a song.
			Name: "songs", Business: "laulukaar", Agent: "songs",
			Turns: Range{1, 3}, Input: Range{8, 20}, Output: Range{12, 32}, Pause: Range{500, 2000},
		},
		{
			// A volunteer editor corrects lyrics.
			Name: "editors", Business: "laulukaar", Agent: "editors",
			Turns: Range{10, 30}, Input: Range{20, 80}, Output: Range{20, 60}, Pause: Range{1000, 4000},
		},
		{
			// A franchisee tallies trays.
			Name: "trays", Business: "binfold", Agent: "trays",
			Turns: Range{2, 4}, Input: Range{30, 60}, Output: Range{16, 48}, Pause: Range{200, 1000},
		},
		{
			// A kitchen supervisor trims the menu, lodges a docket at the end.
			Name: "trims", Business: "binfold", Agent: "trims", Service: "dockets",
			Turns: Range{5, 12}, Input: Range{20, 60}, Output: Range{30, 80}, Pause: Range{1000, 3000},
			Children: Range{1, 2}, ChildTurns: Range{1, 2}, Calls: Range{0, 1},
		},
		{
			// A venue posts a fee.
			Name: "fees", Business: "laulukaar", Service: "fees", Calls: Range{1, 1},
		},
	}
}

// ParseMixes returns the mixes of a text such as "songs=2,fees=0.5", which
// gives programs per second by name.
func ParseMixes(text string) ([]Mix, error) {
	known := map[string]Mix{}
	for _, m := range Mixes() {
		known[m.Name] = m
	}
	var mixes []Mix
	for part := range strings.SplitSeq(text, ",") {
		name, rate, _ := strings.Cut(part, "=")
		m, ok := known[strings.TrimSpace(name)]
		if !ok {
			return nil, eris.Errorf("there is no mix %q", name)
		}
		perSecond, err := strconv.ParseFloat(rate, 64)
		if err != nil || perSecond <= 0 {
			return nil, eris.Errorf("mix %s: %q is not a rate", name, rate)
		}
		m.Rate = perSecond
		mixes = append(mixes, m)
	}
	return mixes, nil
}

// pauseTime draws the time between two turns.
func (m Mix) pauseTime(random *rand.Rand, scale float64) time.Duration {
	drawn := time.Duration(m.Pause.draw(random)) * time.Millisecond
	return time.Duration(float64(drawn) * scale)
}
