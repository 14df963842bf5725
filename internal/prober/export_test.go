package prober

import "time"

// Tick follows the document without making the probes that are due.
func (p *Prober) Tick() {
	version := p.current()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.adopt(version, now)
	p.relax(now)
}
