package lavid

// HostID names an entry host or the host of a side process.
type HostID string

// Region names a group of data centres that are close to each other.
type Region string

// DataCentreID names a data centre.
type DataCentreID string

// AccountID names a client account.
type AccountID string

// BackendServerID names a model engine replica or a replica of a plain service.
type BackendServerID string

// ModelID names a model, whatever its version.
type ModelID string

// VersionID names one version of one model.
type VersionID string

// ReleaseID names a version of the software that the backend servers of a service run.
type ReleaseID string

// ServiceID names a service: a plain one or a pool of model engines.
type ServiceID string

// CallID names one call of a plain service.
type CallID string

// RequestID names a request within a client account; repeats of a request carry the same one.
type RequestID string

// AttemptID names one try of a request at one backend server, unique over all hosts and time.
type AttemptID string

// SessionID names a session within a client account.
type SessionID string

// TaskClass names a group of requests of similar difficulty.
type TaskClass string

// PatchID names a patch to the configuration; its author repeats it to settle a lost reply.
type PatchID string
