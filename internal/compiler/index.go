package compiler

// index finds entries by name; of entries with the same name it holds the first.
type index struct {
	businesses map[string]bool
	// agents and budgets are keyed by AgentName; the budget of a whole business
	// has an empty agent.
	agents   map[string]int
	budgets  map[string]int
	services map[string]bool
	// models and replicas hold what the endpoints serve.
	models   map[string]bool
	replicas map[string]bool
}

func (c *compiling) makeIndex() {
	c.index = index{
		businesses: map[string]bool{},
		agents:     map[string]int{},
		budgets:    map[string]int{},
		services:   map[string]bool{},
		models:     map[string]bool{},
		replicas:   map[string]bool{},
	}
	for _, e := range c.Businesses {
		c.businesses[e.Name] = true
	}
	for i, e := range c.Agents {
		putFirst(c.agents, AgentName(e.Business, e.Name), i)
	}
	for i, e := range c.Budgets {
		putFirst(c.budgets, AgentName(e.Business, e.Agent), i)
	}
	for _, e := range c.Services {
		c.services[e.Name] = true
	}
	for _, e := range c.Endpoints {
		c.indexEndpoint(e)
	}
}

func (c *compiling) indexEndpoint(e endpointEntry) {
	if e.Service != "" {
		c.replicas[e.Service] = true
		return
	}
	for _, model := range e.Models {
		c.models[model] = true
	}
}

func putFirst(places map[string]int, name string, i int) {
	if _, taken := places[name]; !taken {
		places[name] = i
	}
}

// agent returns the index of the agent program, or -1.
func (c *compiling) agent(business, name string) int {
	return find(c.agents, AgentName(business, name))
}

// budget returns the index of the budget, or -1.
func (c *compiling) budget(business, agent string) int {
	return find(c.budgets, AgentName(business, agent))
}

func find(places map[string]int, name string) int {
	if i, ok := places[name]; ok {
		return i
	}
	return -1
}
