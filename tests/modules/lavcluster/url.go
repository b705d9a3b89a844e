package lavcluster

// CallerURL returns the base URL of an entry host for callers, behind its relay.
func (c *Cluster) CallerURL(entry string) string {
	return c.url(HopCallers, entry)
}
