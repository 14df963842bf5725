package compiler

import (
	"fmt"
	"slices"
	"strings"
)

// The rights that an operator may hold besides sections.
const (
	// RightAll stands for every section and right.
	RightAll = "*"
	// RightPrograms permits ending programs and resolving outcomes.
	RightPrograms = "Programs"
	// RightInstances permits draining instances.
	RightInstances = "Instances"
)

// ValidRights returns what an operator's Sections may hold.
func ValidRights() []string {
	return append(SectionNames(), RightPrograms, RightInstances, RightAll)
}

// HasRight says whether the operator holds the section or right.
func (o *Operator) HasRight(right string) bool {
	return slices.Contains(o.Sections, right) || slices.Contains(o.Sections, RightAll)
}

func (c *compiling) checkBusinesses() {
	names := unique{}
	for i, e := range c.Businesses {
		if e.Name != "" {
			c.claim(names, e.Name, field(SectionBusinesses, i, "Name"), "business "+e.Name)
		}
	}
}

// needBusiness fails unless the business is in the document; an empty name has
// been reported already where one is required.
func (c *compiling) needBusiness(name, path string) {
	if name != "" && !c.unread(SectionBusinesses) && !c.businesses[name] {
		c.fail(path, "unknown business %s; Businesses is at %s", name, c.sectionAt(SectionBusinesses))
	}
}

// unread says whether a section is present but could not be read at all, so
// that nothing may be concluded from what it lacks.
func (c *compiling) unread(section string) bool {
	places, present := c.places[section]
	return present && !places.Contains(section)
}

// sectionAt says where a section stands, for messages.
func (c *compiling) sectionAt(section string) string {
	places, present := c.places[section]
	if !present {
		return "no place, as the section is absent"
	}
	return places.KeyAt(section).String()
}

func (c *compiling) checkAgents() {
	names := unique{}
	for i, e := range c.Agents {
		at := field(SectionAgents, i, "Name")
		c.needBusiness(e.Business, field(SectionAgents, i, "Business"))
		if e.Name != "" {
			c.claim(names, AgentName(e.Business, e.Name), at, "agent "+AgentName(e.Business, e.Name))
		}
		if !c.served(e.Model) {
			c.fail(field(SectionAgents, i, "Model"), "no endpoint serves model %s; Endpoints is at %s",
				e.Model, c.sectionAt(SectionEndpoints))
		}
		if c.budget(e.Business, e.Name) < 0 && !c.unread(SectionBudgets) {
			c.fail(at, "agent %s has no budget; Budgets is at %s",
				AgentName(e.Business, e.Name), c.sectionAt(SectionBudgets))
		}
		if e.MaxOutput > e.MaxHistory && e.MaxHistory > 0 {
			c.fail(field(SectionAgents, i, "MaxOutput"), "MaxOutput is more than MaxHistory at %s",
				c.at(field(SectionAgents, i, "MaxHistory")))
		}
	}
}

// served says whether an endpoint has the model; an absent name has been reported.
func (c *compiling) served(model string) bool {
	if model == "" || c.unread(SectionEndpoints) {
		return true
	}
	return c.models[model]
}

func (c *compiling) checkBudgets() {
	names := unique{}
	for i, e := range c.Budgets {
		at := field(SectionBudgets, i, "Agent")
		c.needBusiness(e.Business, field(SectionBudgets, i, "Business"))
		c.claim(names, AgentName(e.Business, e.Agent), fmt.Sprintf("%s[%d]", SectionBudgets, i),
			"the budget of "+strings.TrimSuffix(AgentName(e.Business, e.Agent), "/"))
		if e.Agent == "" {
			continue
		}
		c.checkAgentBudget(i, e, at)
	}
}

func (c *compiling) checkAgentBudget(i int, e budgetEntry, at string) {
	agent := c.agent(e.Business, e.Agent)
	if agent < 0 {
		c.failUnknownAgent(at, e.Business, e.Agent)
		return
	}
	tokens := field(SectionBudgets, i, "Tokens")
	if e.Tokens > 0 && c.Agents[agent].MaxOutput > e.Tokens {
		c.fail(tokens, "the budget does not cover one turn; MaxOutput is at %s", c.at(field(SectionAgents, agent, "MaxOutput")))
	}
	whole := c.budget(e.Business, "")
	if whole >= 0 && e.Tokens > c.Budgets[whole].Tokens {
		c.fail(tokens, "the budget of a program is more than the budget of the business at %s",
			c.at(field(SectionBudgets, whole, "Tokens")))
	}
}

func (c *compiling) failUnknownAgent(path, business, agent string) {
	if !c.unread(SectionAgents) {
		c.fail(path, "unknown agent %s; Agents is at %s", AgentName(business, agent), c.sectionAt(SectionAgents))
	}
}

func (c *compiling) checkPrecedence() {
	businesses := unique{}
	for i, e := range c.Precedence {
		at := field(SectionPrecedence, i, "Business")
		c.needBusiness(e.Business, at)
		c.claim(businesses, e.Business, at, "the precedence of "+e.Business)
		agents := unique{}
		for j, name := range e.Order {
			path := fmt.Sprintf("%s[%d].Order[%d]", SectionPrecedence, i, j)
			c.claim(agents, name, path, "agent "+name)
			if c.agent(e.Business, name) < 0 {
				c.failUnknownAgent(path, e.Business, name)
			}
		}
	}
}

func (c *compiling) checkEndpoints() {
	names, addresses := unique{}, unique{}
	for i, e := range c.Endpoints {
		if e.Name != "" {
			c.claim(names, e.Name, field(SectionEndpoints, i, "Name"), "endpoint "+e.Name)
		}
		c.checkAddress(i, e, addresses)
		c.checkRole(i, e)
	}
}

func (c *compiling) checkAddress(i int, e endpointEntry, addresses unique) {
	path := field(SectionEndpoints, i, "Address")
	if !e.Address.IsValid() {
		return
	}
	if e.Address.Port() == 0 || e.Address.Addr().IsUnspecified() {
		c.fail(path, "address %s cannot be dialled", e.Address)
	}
	c.claim(addresses, e.Address.String(), path, "address "+e.Address.String())
}

// checkRole tells model engines from replicas of a service.
func (c *compiling) checkRole(i int, e endpointEntry) {
	service := field(SectionEndpoints, i, "Service")
	models := field(SectionEndpoints, i, "Models")
	switch {
	case e.Service == "" && len(e.Models) == 0:
		c.fail(service, "endpoint %s needs Models or a Service", e.Name)
	case e.Service != "" && len(e.Models) > 0:
		c.fail(models, "endpoint %s has Models and also a Service at %s", e.Name, c.at(service))
	case e.Service != "" && !c.services[e.Service] && !c.unread(SectionServices):
		c.fail(service, "unknown service %s; Services is at %s", e.Service, c.sectionAt(SectionServices))
	}
}

func (c *compiling) checkServices() {
	names := unique{}
	for i, e := range c.Services {
		at := field(SectionServices, i, "Name")
		if e.Name == "" {
			continue
		}
		c.claim(names, e.Name, at, "service "+e.Name)
		c.needBusiness(e.Business, field(SectionServices, i, "Business"))
		if !c.replicas[e.Name] && !c.unread(SectionEndpoints) {
			c.fail(at, "service %s has no endpoint; Endpoints is at %s", e.Name, c.sectionAt(SectionEndpoints))
		}
	}
}

func (c *compiling) checkOperators() {
	names := unique{}
	for i, e := range c.Operators {
		if e.Name != "" {
			c.claim(names, e.Name, field(SectionOperators, i, "Name"), "operator "+e.Name)
		}
		for j, right := range e.Sections {
			if !slices.Contains(ValidRights(), right) {
				c.fail(fmt.Sprintf("%s[%d].Sections[%d]", SectionOperators, i, j),
					"unknown section %q; may be %s", right, strings.Join(ValidRights(), ", "))
			}
		}
	}
}

// checkKeys makes sure that a key tells exactly one business or operator.
func (c *compiling) checkKeys() {
	holders := unique{}
	for i, e := range c.Businesses {
		for j, hash := range e.KeyHashes {
			c.claim(holders, hash, fmt.Sprintf("%s[%d].KeyHashes[%d]", SectionBusinesses, i, j), "the key")
		}
	}
	for i, e := range c.Operators {
		if e.KeyHash != "" {
			c.claim(holders, e.KeyHash, field(SectionOperators, i, "KeyHash"), "the key")
		}
	}
}
