package compiler

// index maps names to entries. Of several entries with the same name it holds
// the first.
type index struct {
	businesses map[string]bool
	// agents and budgets map an AgentName to the index of the entry; the budget of
	// a whole business has an empty agent.
	agents   map[string]int
	budgets  map[string]int
	services map[string]bool
	// servedModels and servedServices hold the models and services that have an
	// endpoint.
	servedModels   map[string]bool
	servedServices map[string]bool
}

func (c *compilation) buildIndex() {
	c.index = index{
		businesses:     map[string]bool{},
		agents:         map[string]int{},
		budgets:        map[string]int{},
		services:       map[string]bool{},
		servedModels:   map[string]bool{},
		servedServices: map[string]bool{},
	}
	for _, e := range c.Businesses {
		c.businesses[e.Name] = true
	}
	for i, e := range c.Agents {
		setIfAbsent(c.agents, AgentName(e.Business, e.Name), i)
	}
	for i, e := range c.Budgets {
		setIfAbsent(c.budgets, AgentName(e.Business, e.Agent), i)
	}
	for _, e := range c.Services {
		c.services[e.Name] = true
	}
	for _, e := range c.Endpoints {
		c.indexEndpoint(e)
	}
}

func (c *compilation) indexEndpoint(e endpointEntry) {
	if e.Service != "" {
		c.servedServices[e.Service] = true
		return
	}
	for _, model := range e.Models {
		c.servedModels[model] = true
	}
}

func setIfAbsent(indices map[string]int, name string, i int) {
	if _, present := indices[name]; !present {
		indices[name] = i
	}
}

// agentIndex returns the index of the agent program in Agents, or -1.
func (c *compilation) agentIndex(business, name string) int {
	return lookUp(c.agents, AgentName(business, name))
}

// budgetIndex returns the index of the budget in Budgets, or -1.
func (c *compilation) budgetIndex(business, agent string) int {
	return lookUp(c.budgets, AgentName(business, agent))
}

func lookUp(indices map[string]int, name string) int {
	if i, ok := indices[name]; ok {
		return i
	}
	return -1
}
