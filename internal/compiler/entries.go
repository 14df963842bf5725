package compiler

import (
	"net/netip"
	"time"
)

// The structures below are the decoded forms of the sections. Their field names
// are the YAML keys.

type businessesFile struct {
	Businesses []businessEntry `validate:"dive"`
}

type businessEntry struct {
	Name       string   `validate:"name"`
	Weight     int      `validate:"min=1,max=1000"`
	RetryShare float64  `validate:"min=0,max=1"`
	KeyHashes  []string `validate:"dive,keyhash"`
}

type agentsFile struct {
	Agents []agentEntry `validate:"dive"`
}

type agentEntry struct {
	Business     string        `validate:"name"`
	Name         string        `validate:"name"`
	Model        string        `validate:"model"`
	Adapter      string        `validate:"omitempty,model"`
	Instructions string        `validate:"max=65536"`
	MaxTurns     int           `validate:"min=1"`
	MaxOutput    int           `validate:"min=1"`
	MaxHistory   int           `validate:"min=1"`
	WallLimit    time.Duration `validate:"min=1s"`
	IdleTimeout  time.Duration `validate:"min=1s"`
	ToolPause    time.Duration `validate:"min=0s"`
}

type budgetsFile struct {
	Budgets []budgetEntry `validate:"dive"`
}

type budgetEntry struct {
	Business string `validate:"name"`
	// Agent is empty for the budget of the whole business.
	Agent  string `validate:"omitempty,name"`
	Tokens int    `validate:"min=1"`
}

type precedenceFile struct {
	Precedence []precedenceEntry `validate:"dive"`
}

type precedenceEntry struct {
	Business string `validate:"name"`
	// Order lists agent programs, the most urgent first.
	Order []string `validate:"min=1,dive,name"`
}

type endpointsFile struct {
	Endpoints []endpointEntry `validate:"dive"`
}

type endpointEntry struct {
	Name        string         `validate:"name"`
	Address     netip.AddrPort `validate:"required"`
	DataCentre  string         `validate:"name"`
	Service     string         `validate:"omitempty,name"`
	Models      []string       `validate:"dive,model"`
	Slots       int            `validate:"min=1"`
	CacheTokens int            `validate:"min=0"`
	ChecksFence bool
	TLS         bool
	Leaving     bool
}

type servicesFile struct {
	Services []serviceEntry `validate:"dive"`
}

type serviceEntry struct {
	Name       string `validate:"name"`
	Business   string `validate:"omitempty,name"`
	Repeatable bool
	HonoursKey bool
	StatusPath string        `validate:"omitempty,urlpath"`
	Timeout    time.Duration `validate:"min=1ms"`
}

type operatorsFile struct {
	Operators []operatorEntry `validate:"dive"`
}

type operatorEntry struct {
	Name     string   `validate:"name"`
	KeyHash  string   `validate:"keyhash"`
	Sections []string `validate:"min=1"`
}

type policyFile struct {
	Policy policyEntry
}

type policyEntry struct {
	Queue       string        `validate:"oneof=LeastAttained FirstCome ShortestCall"`
	Routing     string        `validate:"oneof=Affinity TwoChoices LeastLoaded RoundRobin Random"`
	StarveAfter time.Duration `validate:"min=1ms"`
	QueueLimit  int           `validate:"min=1"`
}

// content is the decoded form of the whole document.
type content struct {
	businessesFile
	agentsFile
	budgetsFile
	precedenceFile
	endpointsFile
	servicesFile
	operatorsFile
	policyFile
}

// newFile returns a pointer to a structure for the section, filled with the
// defaults, or nil for an unknown section.
func newFile(section string) any {
	switch section {
	case SectionBusinesses:
		return &businessesFile{}
	case SectionAgents:
		return &agentsFile{}
	case SectionBudgets:
		return &budgetsFile{}
	case SectionPrecedence:
		return &precedenceFile{}
	case SectionEndpoints:
		return &endpointsFile{}
	case SectionServices:
		return &servicesFile{}
	case SectionOperators:
		return &operatorsFile{}
	case SectionPolicy:
		return &policyFile{Policy: policyEntry(DefaultPolicy())}
	}
	return nil
}

// setSection copies the structure of a section, made by newFile, into the content.
func (c *content) setSection(file any) {
	switch f := file.(type) {
	case *businessesFile:
		c.businessesFile = *f
	case *agentsFile:
		c.agentsFile = *f
	case *budgetsFile:
		c.budgetsFile = *f
	case *precedenceFile:
		c.precedenceFile = *f
	case *endpointsFile:
		c.endpointsFile = *f
	case *servicesFile:
		c.servicesFile = *f
	case *operatorsFile:
		c.operatorsFile = *f
	case *policyFile:
		c.policyFile = *f
	}
}

// Defaults of the section Policy.
const (
	defaultQueue       = "LeastAttained"
	defaultRouting     = "Affinity"
	defaultStarveAfter = 30 * time.Second
	defaultQueueLimit  = 1000
)

// DefaultPolicy returns the policy of a document without the section Policy. It
// is also the source of the fields that the section omits.
func DefaultPolicy() Policy {
	return Policy{
		Queue:       defaultQueue,
		Routing:     defaultRouting,
		StarveAfter: defaultStarveAfter,
		QueueLimit:  defaultQueueLimit,
	}
}
