package lavcluster

// CallerURL returns the base URL under which callers reach an entry host through its relay route.
func (c *Cluster) CallerURL(entry string) string {
	return c.url(HopCallers, entry)
}
