package lavcmd

import (
	"context"
	"sync"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// hostList reads the platform's host list and keeps the last one read.
type hostList struct {
	platform *lavplatform.Client
	// onUpdate is called with each list that was read.
	onUpdate func(hosts []lavplatform.Host)
	mu       sync.Mutex
	hosts    []lavplatform.Host
}

// Hosts reads the platform's host list, stores it and returns it.
func (l *hostList) Hosts(ctx context.Context) ([]lavplatform.Host, error) {
	hosts, err := l.platform.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.hosts = hosts
	l.mu.Unlock()
	l.onUpdate(hosts)
	return hosts, nil
}

// servers returns the ids of all backend servers of the last host list, and of those that are leaving.
func (l *hostList) servers() ([]lavid.BackendServerID, []lavid.BackendServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var listed, leaving []lavid.BackendServerID
	for _, host := range l.hosts {
		if host.BackendServer == "" {
			continue
		}
		listed = append(listed, host.BackendServer)
		if host.Leaving {
			leaving = append(leaving, host.BackendServer)
		}
	}
	return listed, leaving
}
