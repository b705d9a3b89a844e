package lavprocess

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/tests/modules/lavport"
)

// The API keys of the callers' and operators' interfaces.
const (
	CallerKey   = "caller"
	operatorKey = "operator"
)

// Account is the client account that CallerKey belongs to.
const Account lavid.AccountID = "measure"

// Fleet is a set of processes that listen on the loopback interface.
type Fleet struct {
	Entries           []*Process
	Sides             []*Process
	Engines           []*Process
	programDirectory  string
	directory         string
	platform          *Process
	platformAddress   string
	operatorAddresses []string
	document          lavconfig.Document
	hosts             []host
	configNumber      int
}

// host is a row of the platform's host list.
type host struct {
	ID            string
	Role          string
	Address       string
	DataCentre    string
	BackendServer string `json:",omitempty"`
}

// queueTimeout is short enough for admitted requests to meet the target for the time to first token.
const queueTimeout = "1500ms"

// readyTimeout limits the start of a fleet.
const readyTimeout = 20 * time.Second

// New starts the platform of a new fleet. programDirectory is the directory of the built binaries.
func New(programDirectory string) (*Fleet, error) {
	directory, err := os.MkdirTemp("", "lavmeasure")
	if err != nil {
		return nil, errors.Wrap(err, "create a directory for the fleet")
	}
	f := &Fleet{programDirectory: programDirectory, directory: directory}
	f.document.DataCentres = map[lavid.DataCentreID]lavconfig.DataCentre{}
	f.document.BackendServers = map[lavid.BackendServerID]lavconfig.BackendServer{}
	f.document.Services = map[lavid.ServiceID]lavconfig.Service{}
	address, err := lavport.FreeAddress()
	if err != nil {
		return nil, err
	}
	f.platformAddress = address
	f.platform, err = f.start("platform", address, "lavenderfake", "platform", "--address", address)
	if err != nil {
		return nil, err
	}
	return f, f.waitUntilAnswering("http://" + address + "/hosts")
}

// PlatformAddress returns the address of the platform.
func (f *Fleet) PlatformAddress() string {
	return f.platform.Address
}

// SetPlatformAddress sets the address under which processes started from now on reach the platform, such as a proxy.
func (f *Fleet) SetPlatformAddress(address string) {
	f.platformAddress = address
}

func (f *Fleet) start(name, address, program string, arguments ...string) (*Process, error) {
	return start(f.directory, name, address, filepath.Join(f.programDirectory, program), arguments...)
}

// AddServer starts an engine and its side process in a data centre.
func (f *Fleet) AddServer(dataCentre lavid.DataCentreID, maxRunning int, engineArguments ...string) error {
	name := "engine-" + strconv.Itoa(len(f.Engines)+1)
	backend, err := lavport.FreeAddress()
	if err != nil {
		return err
	}
	arguments := append([]string{"engine", "--address", backend, "--version", "small-1"}, engineArguments...)
	engine, err := f.start(name, backend, "lavenderfake", arguments...)
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, engine)
	f.document.DataCentres[dataCentre] = lavconfig.DataCentre{Region: "region", State: lavconfig.InService}
	address, err := lavport.FreeAddress()
	if err != nil {
		return err
	}
	f.document.BackendServers[lavid.BackendServerID(name)] = lavconfig.BackendServer{
		DataCentre: dataCentre, SideAddress: address, State: lavconfig.InService,
		Versions: []lavid.VersionID{"small-1"}, MemoryVersions: 1, MaxRunning: maxRunning,
	}
	settings := map[string]string{
		"HostID": "side-" + name, "DataCentre": string(dataCentre), "BackendServer": name, "Address": address,
		"BackendAddress": "http://" + backend, "PlatformAddress": "http://" + f.platformAddress, "LogLevel": "warning",
	}
	f.hosts = append(f.hosts, host{ID: "side-" + name, Role: "Side", Address: address, DataCentre: string(dataCentre), BackendServer: name})
	side, err := f.startWithSettings("side-"+name, address, "lavenderswitch-side", settings)
	f.Sides = append(f.Sides, side)
	return err
}

// AddEntry starts an entry host in a data centre.
func (f *Fleet) AddEntry(dataCentre lavid.DataCentreID) error {
	name := "entry-" + strconv.Itoa(len(f.Entries)+1)
	var addresses [3]string
	for i := range addresses {
		address, err := lavport.FreeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	settings := map[string]any{
		"HostID": name, "DataCentre": dataCentre, "CallerAddress": addresses[0], "OperatorAddress": addresses[1],
		"PeerAddress": addresses[2], "PlatformAddress": "http://" + f.platformAddress,
		"OperatorKeyHashes": []string{keyHash(operatorKey)}, "LogLevel": "warning",
		"QueueTimeout": queueTimeout,
	}
	f.hosts = append(f.hosts, host{ID: name, Role: "Entry", Address: addresses[2], DataCentre: string(dataCentre)})
	entry, err := f.startWithSettings(name, addresses[0], "lavenderswitch-entry", settings)
	f.Entries = append(f.Entries, entry)
	f.operatorAddresses = append(f.operatorAddresses, addresses[1])
	return err
}

// startWithSettings writes a settings file and starts a program with it.
func (f *Fleet) startWithSettings(name, address, program string, settings any) (*Process, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(f.directory, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return f.start(name, address, program, "run", "--settings", path)
}

// MakeReady publishes the host list, submits the initial configuration and waits until every entry host answers a request.
func (f *Fleet) MakeReady() error {
	if err := f.put("http://"+f.platform.Address+"/hosts", struct{ Hosts []host }{f.hosts}); err != nil {
		return err
	}
	for _, operator := range f.operatorAddresses {
		if err := f.waitUntilAnswering("http://" + operator + "/config"); err != nil {
			return err
		}
	}
	f.document.Versions = map[lavid.VersionID]lavconfig.Version{
		"small-1": {Model: "small", State: lavconfig.VersionServing, InputPrice: 1, OutputPrice: 2, ExpectedQuality: 0.9},
	}
	f.document.ClientAccounts = map[lavid.AccountID]lavconfig.ClientAccount{
		Account: {KeyHashes: []string{keyHash(CallerKey)}, AllowedVersions: []lavid.VersionID{"small-1"}, QualityTarget: 0.8, Weight: 1},
	}
	if err := f.Patch(f.operations()...); err != nil {
		return err
	}
	for _, entry := range f.Entries {
		if err := f.waitForAnswer(entry); err != nil {
			return err
		}
	}
	return nil
}

// Operation is one operation of a JSON patch (RFC 6902).
type Operation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// operations returns the patch that creates the initial configuration.
func (f *Fleet) operations() []Operation {
	var all []Operation
	for id, row := range f.document.DataCentres {
		all = append(all, Operation{"add", "/DataCentres/" + string(id), row})
	}
	for id, row := range f.document.Versions {
		all = append(all, Operation{"add", "/Versions/" + string(id), row})
	}
	for id, row := range f.document.ClientAccounts {
		all = append(all, Operation{"add", "/ClientAccounts/" + string(id), row})
	}
	for id, row := range f.document.BackendServers {
		all = append(all, Operation{"add", "/BackendServers/" + string(id), row})
	}
	return all
}

// Patch submits operations based on the configuration that this fleet last accepted.
func (f *Fleet) Patch(operations ...Operation) error {
	data, err := json.Marshal(operations)
	if err != nil {
		return errors.Wrap(err, "encode patch")
	}
	status, answer, err := f.call(http.MethodPatch, "http://"+f.operatorAddresses[0]+"/config", data, "If-Match", strconv.Itoa(f.configNumber))
	if err != nil || status != http.StatusOK {
		return errors.Errorf("patch was refused: status %d, %s, error %v; see the log of entry-1", status, answer, err)
	}
	f.configNumber++
	return nil
}

// Stop stops entry hosts, side processes, engines and the platform, in this order, and removes their files.
func (f *Fleet) Stop() {
	for _, group := range [][]*Process{f.Entries, f.Sides, f.Engines, {f.platform}} {
		for _, process := range group {
			if process != nil {
				process.Stop()
			}
		}
	}
	_ = os.RemoveAll(f.directory)
}

// waitForAnswer returns when an entry host starts to answer a request. It does not wait for the end of the answer.
func (f *Fleet) waitForAnswer(entry *Process) error {
	var last string
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, err := beginAnswer(entry.Address)
		if err == nil && status == http.StatusOK {
			return nil
		}
		last = fmt.Sprint(status, " ", err)
	}
	return errors.Errorf("%s did not answer a request: %s", entry.Name, last)
}

// beginAnswer requests a stream and returns the status code without reading the answer.
func beginAnswer(address string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := strings.NewReader(`{"model":"auto","stream":true,"messages":[{"role":"user","content":"ready"}]}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", body)
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+CallerKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// waitUntilAnswering returns when a URL answers a request, with any status.
func (f *Fleet) waitUntilAnswering(url string) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if _, _, err := f.call(http.MethodGet, url, nil, "", ""); err == nil {
			return nil
		}
	}
	return errors.Errorf("no answer from %s during the start of the fleet", url)
}

// put sends a value as JSON and returns an error unless the status is below 300.
func (f *Fleet) put(url string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode request body")
	}
	status, answer, err := f.call(http.MethodPut, url, data, "", "")
	if err == nil && status >= http.StatusMultipleChoices {
		err = errors.Errorf("%s answered with status %d: %s", url, status, answer)
	}
	return err
}

const callTimeout = 3 * time.Second

// call sends a request with the operators' key and an optional header. It returns the status and the body.
func (f *Fleet) call(method, url string, body []byte, header, value string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	if header != "" {
		request.Header.Set(header, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), errors.Wrap(err, "read answer")
}

// ReadOperatorPath returns the body of a GET request to a path on the operators' listener of an entry host.
func (f *Fleet) ReadOperatorPath(entry int, path string) (string, error) {
	_, answer, err := f.call(http.MethodGet, "http://"+f.operatorAddresses[entry]+path, nil, "", "")
	return answer, err
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
