package lavcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavhttp"
)

// Operation is one operation of a JSON patch (RFC 6902).
type Operation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// WithdrawVersion returns the patch that withdraws a version.
func WithdrawVersion(version lavid.VersionID) []Operation {
	return []Operation{{Op: "replace", Path: "/Versions/" + string(version) + "/State", Value: lavconfig.VersionWithdrawn}}
}

// EvacuateDataCentre returns the patch that takes a data centre out of service.
func EvacuateDataCentre(dataCentre lavid.DataCentreID) []Operation {
	return []Operation{{Op: "replace", Path: "/DataCentres/" + string(dataCentre) + "/State", Value: lavconfig.OutOfService}}
}

// SetPrices returns the patch that sets the prices of a version's input and output tokens.
func SetPrices(version lavid.VersionID, input, output lavid.NanoUnits) []Operation {
	return []Operation{
		{Op: "replace", Path: "/Versions/" + string(version) + "/InputPrice", Value: input},
		{Op: "replace", Path: "/Versions/" + string(version) + "/OutputPrice", Value: output},
	}
}

// SetWeight returns a patch that sets the weight of AccountBothVersions, which no check depends on.
func SetWeight(weight float64) []Operation {
	return []Operation{{Op: "add", Path: "/ClientAccounts/" + string(AccountBothVersions) + "/Weight", Value: weight}}
}

// PatchResult is the outcome of one attempt to submit a patch, as the operator sees it.
type PatchResult struct {
	Patch lavid.PatchID
	Base  lavid.ConfigNumber
	Entry string
	Sent  time.Time
	// Status is the HTTP status code, or zero if no response arrived.
	Status int
	// Number is the configuration that the patch made, or zero if the patch was not accepted.
	Number lavid.ConfigNumber
	Detail lavhttp.ErrorDetail
	Err    error
}

// Accepted reports whether the reply confirms that the patch was accepted.
func (r PatchResult) Accepted() bool { return r.Status == http.StatusOK && r.Err == nil }

// String describes the attempt in one line.
func (r PatchResult) String() string {
	return fmt.Sprintf("patch %s based on configuration %d at %s: status %d, number %d, %s, error %v", r.Patch, r.Base, r.Entry, r.Status, r.Number, r.Detail.Message, r.Err)
}

// operatorTimeout limits each call of the operators' interfaces.
const operatorTimeout = 8 * time.Second

// SubmitPatch sends a patch based on a configuration number to an entry host.
func (c *Cluster) SubmitPatch(entry string, patch lavid.PatchID, base lavid.ConfigNumber, operations []Operation) PatchResult {
	result := PatchResult{Patch: patch, Base: base, Entry: entry, Sent: time.Now()}
	data, err := json.Marshal(operations)
	c.must(err)
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(base), 10))}, "Lavender-Patch": {string(patch)}}
	var reply struct {
		Number lavid.ConfigNumber
		lavhttp.ErrorBody
	}
	result.Status, result.Err = c.callConfig(http.MethodPatch, entry, header, data, &reply)
	result.Number = reply.Number
	result.Detail = reply.Error
	return result
}

// Document returns the configuration that is in force at an entry host.
func (c *Cluster) Document(entry string) (*lavconfig.Document, error) {
	document := &lavconfig.Document{}
	status, err := c.callConfig(http.MethodGet, entry, http.Header{}, nil, document)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("unexpected status %d", status)
	}
	return document, err
}

// SideConfigNumber returns the configuration number in the state dump of a backend server's side process.
func (c *Cluster) SideConfigNumber(backend string) (lavid.ConfigNumber, error) {
	var dump struct {
		Spread struct{ Number lavid.ConfigNumber }
	}
	status, err := c.callAsOperator(http.MethodGet, "http://"+c.address(SideOf(backend)+" admin")+"/dump", http.Header{}, nil, &dump)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("unexpected status %d", status)
	}
	return dump.Spread.Number, err
}

// callConfig sends a request to the configuration path of an entry host.
func (c *Cluster) callConfig(method, entry string, header http.Header, body []byte, reply any) (int, error) {
	return c.callAsOperator(method, "http://"+c.address(entry+" operators")+"/config", header, body, reply)
}

// callAsOperator sends a request with the operators' key, decodes the JSON reply and returns the status code.
func (c *Cluster) callAsOperator(method, url string, header http.Header, body []byte, reply any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+OperatorKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "send request to the host")
	}
	defer response.Body.Close()
	return response.StatusCode, errors.Wrap(json.NewDecoder(response.Body).Decode(reply), "decode reply")
}

// submitInitialConfig submits the initial configuration and waits until it is in force at every entry host.
func (c *Cluster) submitInitialConfig() {
	c.t.Helper()
	document := c.initialDocument()
	operations := []Operation{
		{Op: "add", Path: "/ClientAccounts", Value: document.ClientAccounts},
		{Op: "add", Path: "/Versions", Value: document.Versions},
		{Op: "add", Path: "/Services", Value: document.Services},
		{Op: "add", Path: "/DataCentres", Value: document.DataCentres},
		{Op: "add", Path: "/BackendServers", Value: document.BackendServers},
	}
	var last PatchResult
	accepted := Poll(startTimeout, func() bool {
		last = c.SubmitPatch(Entry1, "first", 0, operations)
		return last.Accepted() || strings.Contains(last.Detail.Message, "current one is 1")
	})
	if !accepted {
		c.t.Fatalf("the initial configuration was not accepted: %s", last)
	}
	for _, entry := range Entries() {
		c.WaitFor(startTimeout, entry+" has the initial configuration", func() bool {
			document, err := c.Document(entry)
			return err == nil && document.Number >= 1
		})
	}
}
