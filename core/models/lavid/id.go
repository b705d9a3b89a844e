package lavid

// HostID identifies an entry host or the host of a side process.
type HostID string

// Region identifies a group of data centres that are close to each other.
type Region string

// DataCentreID identifies a data centre.
type DataCentreID string

// AccountID identifies a client account.
type AccountID string

// BackendServerID identifies a backend server: a model engine or a server of a plain service.
type BackendServerID string

// ModelID identifies a model, independent of its version.
type ModelID string

// VersionID identifies one version of a model.
type VersionID string

// ReleaseID identifies the software version that the backend servers of a service run.
type ReleaseID string

// ServiceID identifies a service: a plain one or a pool of model engines.
type ServiceID string

// CallID identifies one call of a plain service.
type CallID string

// RequestID identifies a request within a client account. Retries of a request carry the same one.
type RequestID string

// AttemptID identifies one attempt to run a request at a backend server. It is globally unique.
type AttemptID string

// SessionID identifies a session within a client account.
type SessionID string

// TaskClass identifies a group of requests of similar difficulty.
type TaskClass string

// PatchID identifies a patch to the configuration. After a lost reply, the author resubmits the patch with the same id.
type PatchID string
