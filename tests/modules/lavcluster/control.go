package lavcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
	"lavenderswitch/fake/services/lavrelay"
)

// exchangeJSON sends a JSON request to a fake and decodes the JSON reply unless reply is nil.
func (c *Cluster) exchangeJSON(method, url string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request body")
	}
	request, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request to the fake")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: %s %s", method, url, response.Status, answer)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(answer, reply), "decode reply")
}

// SetPlatformFaults replaces the faults of the fake platform and releases the calls that earlier faults held.
func (c *Cluster) SetPlatformFaults(faults ...lavfault.Fault) {
	c.t.Helper()
	c.must(c.replaceFaults(namePlatform, faults))
}

// SetBackendFaults replaces the faults of a fake backend server and releases the calls that earlier faults held.
func (c *Cluster) SetBackendFaults(backend string, faults ...lavfault.Fault) {
	c.t.Helper()
	c.must(c.replaceFaults(backend, faults))
}

// AddPlatformFaults adds faults to those of the fake platform.
func (c *Cluster) AddPlatformFaults(faults ...lavfault.Fault) {
	c.t.Helper()
	c.must(c.exchangeJSON(http.MethodPost, "http://"+c.address(namePlatform)+"/control", lavfault.Command{Add: faults}, nil))
}

// AddBackendFaults adds faults to those of a fake backend server.
func (c *Cluster) AddBackendFaults(backend string, faults ...lavfault.Fault) {
	c.t.Helper()
	c.must(c.exchangeJSON(http.MethodPost, "http://"+c.address(backend)+"/control", lavfault.Command{Add: faults}, nil))
}

// ReleaseBackend clears the faults of a fake backend server. It ignores errors because the process may have been killed.
func (c *Cluster) ReleaseBackend(backend string) {
	_ = c.replaceFaults(backend, nil)
}

func (c *Cluster) replaceFaults(name string, faults []lavfault.Fault) error {
	command := lavfault.Command{Clear: true, Add: faults}
	return c.exchangeJSON(http.MethodPost, "http://"+c.address(name)+"/control", command, nil)
}

// SetRoute sets the relay mode of a hop at a host.
func (c *Cluster) SetRoute(hop Hop, host string, mode lavrelay.Mode) {
	c.t.Helper()
	command := lavrelay.Command{Listen: c.routes[routeName(hop, host)].listen, Mode: mode}
	c.must(c.exchangeJSON(http.MethodPost, "http://"+c.address(nameRelay)+"/control", command, nil))
}

// RouteState returns the state of the relay route of a hop at a host.
func (c *Cluster) RouteState(hop Hop, host string) lavtruth.Route {
	c.t.Helper()
	var truth lavtruth.Relay
	c.must(c.exchangeJSON(http.MethodGet, "http://"+c.address(nameRelay)+"/truth", nil, &truth))
	for _, one := range truth.Routes {
		if one.Listen == c.routes[routeName(hop, host)].listen {
			return one
		}
	}
	return lavtruth.Route{}
}

// PlatformTruth returns the ground truth that the fake platform recorded.
func (c *Cluster) PlatformTruth() lavtruth.Platform {
	c.t.Helper()
	var truth lavtruth.Platform
	c.must(c.exchangeJSON(http.MethodGet, "http://"+c.address(namePlatform)+"/truth", nil, &truth))
	return truth
}

// BackendTruth returns the ground truth that a fake backend server recorded.
func (c *Cluster) BackendTruth(backend string) (lavtruth.Backend, error) {
	var truth lavtruth.Backend
	err := c.exchangeJSON(http.MethodGet, "http://"+c.address(backend)+"/truth", nil, &truth)
	return truth, err
}

// MarkLeaving sets the leaving flag of a backend server's host in the host list.
func (c *Cluster) MarkLeaving(backend string) {
	c.t.Helper()
	c.must(c.exchangeJSON(http.MethodPut, "http://"+c.address(namePlatform)+"/hosts/"+SideOf(backend)+"/leaving", nil, nil))
}

// lagBody is the JSON body that sets the lag of the host list.
type lagBody struct{ Lag lavsettings.Duration }

// SetHostListLag sets how long the platform keeps serving the previous host list after a change.
func (c *Cluster) SetHostListLag(lag lavsettings.Duration) {
	c.t.Helper()
	c.must(c.exchangeJSON(http.MethodPut, "http://"+c.address(namePlatform)+"/hosts-lag", lagBody{Lag: lag}, nil))
}

// BackendByAddress returns the backend server whose side process listens on the address or is reached there through its
// relay route.
func (c *Cluster) BackendByAddress(address string) (string, bool) {
	for _, backend := range Backends() {
		if address == c.address(SideOf(backend)) || address == c.routes[routeName(HopSides, backend)].listen {
			return backend, true
		}
	}
	return "", false
}
