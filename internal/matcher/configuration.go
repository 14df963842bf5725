package matcher

// Configuration is the decoded configuration of a Table. Unlike the table, it keeps the order of the
// entries and the keys of the accounts.
type Configuration struct {
	Version  int64
	Limits   Limits
	Services []Service
	Routes   []Route
	Accounts []AccountKeys
	// HasAccounts is set if the configuration lists accounts, even if the list is empty.
	HasAccounts bool
}

// Table returns the routing table of the configuration.
func (c *Configuration) Table() (*Table, error) {
	table := New(c.Version, c.Limits, c.Services, c.Routes)
	if !c.HasAccounts {
		return table, nil
	}
	return table.WithAccounts(c.Accounts)
}
