package prober

// Tick follows the document without making the probes that are due.
func (p *Prober) Tick() { p.tick() }
