package compiler

import (
	"fmt"
	"slices"
	"strings"
)

// Rights that an operator may have besides the names of sections.
const (
	// RightAll grants every section and right.
	RightAll = "*"
	// RightPrograms grants ending programs and resolving outcomes.
	RightPrograms = "Programs"
	// RightInstances grants draining instances.
	RightInstances = "Instances"
)

// ValidRights returns the values that Operator.Sections may contain.
func ValidRights() []string {
	return append(SectionNames(), RightPrograms, RightInstances, RightAll)
}

// HasRight reports whether the operator has the right, which may be a section.
func (o *Operator) HasRight(right string) bool {
	return slices.Contains(o.Sections, right) || slices.Contains(o.Sections, RightAll)
}

func (c *compilation) checkBusinesses() {
	names := firstPaths{}
	for i, e := range c.Businesses {
		if e.Name != "" {
			c.checkUnique(names, e.Name, fieldPath(SectionBusinesses, i, "Name"), "business "+e.Name)
		}
	}
}

// requireBusiness records an error if the document does not define the business.
// It skips an empty name, which the validation tags report where one is required.
func (c *compilation) requireBusiness(name, path string) {
	if name != "" && !c.hasFailed(SectionBusinesses) && !c.businesses[name] {
		c.fail(path, "unknown business %s; Businesses is at %s", name, c.sectionPosition(SectionBusinesses))
	}
}

// hasFailed reports whether a section is present but could not be decoded.
// Checks for entries missing from such a section are skipped.
func (c *compilation) hasFailed(section string) bool {
	positions, present := c.positions[section]
	return present && !positions.Contains(section)
}

// sectionPosition returns the position of a section for use in messages.
func (c *compilation) sectionPosition(section string) string {
	positions, present := c.positions[section]
	if !present {
		return "no position, because the section is absent"
	}
	return positions.KeyAt(section).String()
}

func (c *compilation) checkAgents() {
	names := firstPaths{}
	for i, e := range c.Agents {
		at := fieldPath(SectionAgents, i, "Name")
		c.requireBusiness(e.Business, fieldPath(SectionAgents, i, "Business"))
		if e.Name != "" {
			c.checkUnique(names, AgentName(e.Business, e.Name), at, "agent "+AgentName(e.Business, e.Name))
		}
		if !c.isModelServed(e.Model) {
			c.fail(fieldPath(SectionAgents, i, "Model"), "no endpoint serves model %s; Endpoints is at %s",
				e.Model, c.sectionPosition(SectionEndpoints))
		}
		if c.budgetIndex(e.Business, e.Name) < 0 && !c.hasFailed(SectionBudgets) {
			c.fail(at, "agent %s has no budget; Budgets is at %s",
				AgentName(e.Business, e.Name), c.sectionPosition(SectionBudgets))
		}
		if e.MaxOutput > e.MaxHistory && e.MaxHistory > 0 {
			c.fail(fieldPath(SectionAgents, i, "MaxOutput"), "MaxOutput is more than MaxHistory at %s",
				c.position(fieldPath(SectionAgents, i, "MaxHistory")))
		}
	}
}

// isModelServed reports whether an endpoint serves the model. It returns true for
// an empty name, which the validation tags report.
func (c *compilation) isModelServed(model string) bool {
	if model == "" || c.hasFailed(SectionEndpoints) {
		return true
	}
	return c.servedModels[model]
}

func (c *compilation) checkBudgets() {
	names := firstPaths{}
	for i, e := range c.Budgets {
		at := fieldPath(SectionBudgets, i, "Agent")
		c.requireBusiness(e.Business, fieldPath(SectionBudgets, i, "Business"))
		c.checkUnique(names, AgentName(e.Business, e.Agent), fmt.Sprintf("%s[%d]", SectionBudgets, i),
			"the budget of "+strings.TrimSuffix(AgentName(e.Business, e.Agent), "/"))
		if e.Agent == "" {
			continue
		}
		c.checkAgentBudget(i, e, at)
	}
}

func (c *compilation) checkAgentBudget(i int, e budgetEntry, at string) {
	agent := c.agentIndex(e.Business, e.Agent)
	if agent < 0 {
		c.failUnknownAgent(at, e.Business, e.Agent)
		return
	}
	tokens := fieldPath(SectionBudgets, i, "Tokens")
	if e.Tokens > 0 && c.Agents[agent].MaxOutput > e.Tokens {
		c.fail(tokens, "the budget does not cover one turn; MaxOutput is at %s", c.position(fieldPath(SectionAgents, agent, "MaxOutput")))
	}
	businessBudget := c.budgetIndex(e.Business, "")
	if businessBudget >= 0 && e.Tokens > c.Budgets[businessBudget].Tokens {
		c.fail(tokens, "the budget of a program is more than the budget of the business at %s",
			c.position(fieldPath(SectionBudgets, businessBudget, "Tokens")))
	}
}

func (c *compilation) failUnknownAgent(path, business, agent string) {
	if !c.hasFailed(SectionAgents) {
		c.fail(path, "unknown agent %s; Agents is at %s", AgentName(business, agent), c.sectionPosition(SectionAgents))
	}
}

func (c *compilation) checkPrecedence() {
	businesses := firstPaths{}
	for i, e := range c.Precedence {
		at := fieldPath(SectionPrecedence, i, "Business")
		c.requireBusiness(e.Business, at)
		c.checkUnique(businesses, e.Business, at, "the precedence of "+e.Business)
		agents := firstPaths{}
		for j, name := range e.Order {
			path := fmt.Sprintf("%s[%d].Order[%d]", SectionPrecedence, i, j)
			c.checkUnique(agents, name, path, "agent "+name)
			if c.agentIndex(e.Business, name) < 0 {
				c.failUnknownAgent(path, e.Business, name)
			}
		}
	}
}

func (c *compilation) checkEndpoints() {
	names, addresses := firstPaths{}, firstPaths{}
	for i, e := range c.Endpoints {
		if e.Name != "" {
			c.checkUnique(names, e.Name, fieldPath(SectionEndpoints, i, "Name"), "endpoint "+e.Name)
		}
		c.checkAddress(i, e, addresses)
		c.checkEndpointKind(i, e)
	}
}

func (c *compilation) checkAddress(i int, e endpointEntry, addresses firstPaths) {
	path := fieldPath(SectionEndpoints, i, "Address")
	if !e.Address.IsValid() {
		return
	}
	if e.Address.Port() == 0 || e.Address.Addr().IsUnspecified() {
		c.fail(path, "address %s cannot be dialled", e.Address)
	}
	c.checkUnique(addresses, e.Address.String(), path, "address "+e.Address.String())
}

// checkEndpointKind requires an endpoint to be either a model engine or a replica
// of a known service.
func (c *compilation) checkEndpointKind(i int, e endpointEntry) {
	service := fieldPath(SectionEndpoints, i, "Service")
	models := fieldPath(SectionEndpoints, i, "Models")
	switch {
	case e.Service == "" && len(e.Models) == 0:
		c.fail(service, "endpoint %s needs Models or a Service", e.Name)
	case e.Service != "" && len(e.Models) > 0:
		c.fail(models, "endpoint %s has Models and also a Service at %s", e.Name, c.position(service))
	case e.Service != "" && !c.services[e.Service] && !c.hasFailed(SectionServices):
		c.fail(service, "unknown service %s; Services is at %s", e.Service, c.sectionPosition(SectionServices))
	}
}

func (c *compilation) checkServices() {
	names := firstPaths{}
	for i, e := range c.Services {
		at := fieldPath(SectionServices, i, "Name")
		if e.Name == "" {
			continue
		}
		c.checkUnique(names, e.Name, at, "service "+e.Name)
		c.requireBusiness(e.Business, fieldPath(SectionServices, i, "Business"))
		if !c.servedServices[e.Name] && !c.hasFailed(SectionEndpoints) {
			c.fail(at, "service %s has no endpoint; Endpoints is at %s", e.Name, c.sectionPosition(SectionEndpoints))
		}
	}
}

func (c *compilation) checkOperators() {
	names := firstPaths{}
	for i, e := range c.Operators {
		if e.Name != "" {
			c.checkUnique(names, e.Name, fieldPath(SectionOperators, i, "Name"), "operator "+e.Name)
		}
		for j, right := range e.Sections {
			if !slices.Contains(ValidRights(), right) {
				c.fail(fmt.Sprintf("%s[%d].Sections[%d]", SectionOperators, i, j),
					"unknown section or right %q; must be one of %s", right, strings.Join(ValidRights(), ", "))
			}
		}
	}
}

// checkKeyHashes requires a key to identify exactly one business or operator.
func (c *compilation) checkKeyHashes() {
	hashes := firstPaths{}
	for i, e := range c.Businesses {
		for j, hash := range e.KeyHashes {
			c.checkUnique(hashes, hash, fmt.Sprintf("%s[%d].KeyHashes[%d]", SectionBusinesses, i, j), "the key")
		}
	}
	for i, e := range c.Operators {
		if e.KeyHash != "" {
			c.checkUnique(hashes, e.KeyHash, fieldPath(SectionOperators, i, "KeyHash"), "the key")
		}
	}
}
