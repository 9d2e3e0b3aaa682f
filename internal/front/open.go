package front

// Open tells whether an answer is owed still.
func (c *Call) Open() bool {
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	return !c.conn.closed.Load() && c.conn.open[c.seq] == c
}
