package lavsetting

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/core/modules/lavtls"
)

// Settings are the settings of a side process, read from a JSON file at start.
type Settings struct {
	HostID        lavid.HostID
	DataCentre    lavid.DataCentreID
	BackendServer lavid.BackendServerID
	// Address is the IP:port at which entry hosts and other side processes reach this process.
	Address string
	// AdminAddress is the IP:port of the listener that serves the state dump and the metrics to operators. When it is
	// empty, there is no such listener.
	AdminAddress string
	// OperatorKeyHashes holds the SHA-256 hashes of operators' keys in hexadecimal.
	OperatorKeyHashes []string
	// BackendAddress is the base URL of the backend server.
	BackendAddress string
	// PlatformAddress is the base URL of the platform.
	PlatformAddress string
	// Seeds are peer addresses of entry hosts. The configuration is requested from them while no other host is known.
	Seeds []string
	// TLS protects both listeners and all calls between processes. Without it, every address must be on the loopback
	// interface.
	TLS lavtls.Settings
	// LogLevel is the lowest level of the log lines that are written, such as info.
	LogLevel string
	// DrainTimeout is the longest time that a graceful shutdown waits for work in progress.
	DrainTimeout lavsettings.Duration
	// ReadinessDelay is how long the process refuses new work before it closes its listeners.
	ReadinessDelay lavsettings.Duration
	// HeartbeatInterval is the time between two heartbeat frames of an answer stream.
	HeartbeatInterval lavsettings.Duration
	// KeepAnswers is how long a reader can still attach to a finished answer.
	KeepAnswers lavsettings.Duration
	// KeepAttempts is how long the result of a finished attempt is kept.
	KeepAttempts lavsettings.Duration
	// SilenceTimeout is how long a backend server may send nothing for an attempt before its state is checked.
	SilenceTimeout lavsettings.Duration
	// CallTimeout is the age from which an idempotent call fails when its plain service has sent nothing for
	// SilenceTimeout.
	CallTimeout lavsettings.Duration
	// OutcomeTimeout is how long, after the caller's deadline, the process waits for the outcome of a call that is not
	// idempotent.
	OutcomeTimeout lavsettings.Duration
	// OrphanTimeout is how long an idempotent attempt runs without a reader before it is cancelled.
	OrphanTimeout lavsettings.Duration
	// AnswerBytes limits the total memory of all buffered answers.
	AnswerBytes int64
	// MaxAnswerBytes limits the size of the answer of a call that is not idempotent.
	MaxAnswerBytes int
	// AnswerWindowBytes limits how many bytes of an answer may be buffered ahead of a slow reader.
	AnswerWindowBytes int
	// OutcomeBytes limits the memory of outcomes that are not yet written to the table service.
	OutcomeBytes int
}

// Read reads the settings from the file at path, applies the overrides and checks the result. A failed check returns
// lavsettings.Faults with every invalid setting.
func Read(path string, overrides lavsettings.Overrides) (Settings, error) {
	settings := defaults()
	if err := lavsettings.ReadWithOverrides(path, &settings, overrides); err != nil {
		return Settings{}, err
	}
	return settings, settings.check()
}

const (
	defaultAnswerBytes       = 256 << 20
	defaultMaxAnswerBytes    = 8 << 20
	defaultAnswerWindowBytes = 1 << 20
	defaultOutcomeBytes      = 64 << 20
)

func defaults() Settings {
	return Settings{
		LogLevel:          "info",
		DrainTimeout:      lavsettings.Duration{Duration: 2 * time.Minute},
		ReadinessDelay:    lavsettings.Duration{Duration: time.Second},
		HeartbeatInterval: lavsettings.Duration{Duration: 300 * time.Millisecond},
		KeepAnswers:       lavsettings.Duration{Duration: time.Minute},
		KeepAttempts:      lavsettings.Duration{Duration: 2 * time.Hour},
		SilenceTimeout:    lavsettings.Duration{Duration: time.Second},
		CallTimeout:       lavsettings.Duration{Duration: 5 * time.Second},
		OutcomeTimeout:    lavsettings.Duration{Duration: 2 * time.Minute},
		OrphanTimeout:     lavsettings.Duration{Duration: 10 * time.Second},
		AnswerBytes:       defaultAnswerBytes,
		MaxAnswerBytes:    defaultMaxAnswerBytes,
		AnswerWindowBytes: defaultAnswerWindowBytes,
		OutcomeBytes:      defaultOutcomeBytes,
	}
}

// minKeepAttempts is longer than the timeout of any attempt, so that the result of an attempt is kept until its request
// has ended.
const minKeepAttempts = time.Hour

func (s Settings) check() error {
	var faults lavsettings.Faults
	faults.AddUnless(s.HostID != "", "HostID", s.HostID, "give the id of this host")
	faults.AddUnless(s.DataCentre != "", "DataCentre", s.DataCentre, "give the id of the data centre of this host")
	faults.AddUnless(s.BackendServer != "", "BackendServer", s.BackendServer, "give the id of the backend server in the configuration")
	checkAddress(&faults, "Address", s.Address)
	if s.AdminAddress != "" {
		checkAddress(&faults, "AdminAddress", s.AdminAddress)
		faults.AddUnless(s.AdminAddress != s.Address, "AdminAddress", s.AdminAddress, "give an address other than Address")
		faults.AddUnless(len(s.OperatorKeyHashes) > 0, "OperatorKeyHashes", len(s.OperatorKeyHashes), "give the SHA-256 hash of at least one operator's key")
	}
	for i, seed := range s.Seeds {
		checkAddress(&faults, fmt.Sprintf("Seeds[%d]", i), seed)
	}
	for i, hash := range s.OperatorKeyHashes {
		decoded, err := hex.DecodeString(hash)
		faults.AddUnless(err == nil && len(decoded) == 32, fmt.Sprintf("OperatorKeyHashes[%d]", i), len(hash), "give 64 hexadecimal digits")
	}
	faults.AddUnless(isURL(s.BackendAddress), "BackendAddress", s.BackendAddress, "give a URL such as http://127.0.0.1:8000")
	faults.AddUnless(isURL(s.PlatformAddress), "PlatformAddress", s.PlatformAddress, "give a URL such as http://127.0.0.1:7000")
	s.TLS.Check(&faults, "TLS", s.Address, s.AdminAddress)
	s.checkTimes(&faults)
	s.checkBytes(&faults)
	return faults.Err()
}

func (s Settings) checkTimes(faults *lavsettings.Faults) {
	const remedy = "give a duration above zero"
	faults.AddUnless(s.DrainTimeout.Duration > 0, "DrainTimeout", s.DrainTimeout, remedy)
	faults.AddUnless(s.ReadinessDelay.Duration >= 0, "ReadinessDelay", s.ReadinessDelay, "give a duration of zero or more")
	faults.AddUnless(s.HeartbeatInterval.Duration > 0, "HeartbeatInterval", s.HeartbeatInterval, remedy)
	faults.AddUnless(s.KeepAnswers.Duration > 0, "KeepAnswers", s.KeepAnswers, remedy)
	faults.AddUnless(s.KeepAttempts.Duration > minKeepAttempts, "KeepAttempts", s.KeepAttempts, "give a duration above "+minKeepAttempts.String())
	faults.AddUnless(s.SilenceTimeout.Duration > 0, "SilenceTimeout", s.SilenceTimeout, remedy)
	faults.AddUnless(s.CallTimeout.Duration > 0, "CallTimeout", s.CallTimeout, remedy)
	faults.AddUnless(s.OutcomeTimeout.Duration >= 0, "OutcomeTimeout", s.OutcomeTimeout, "give a duration of zero or more")
	faults.AddUnless(s.OrphanTimeout.Duration > 0, "OrphanTimeout", s.OrphanTimeout, remedy)
}

func (s Settings) checkBytes(faults *lavsettings.Faults) {
	const remedy = "give a number of bytes above zero"
	faults.AddUnless(s.AnswerBytes > 0, "AnswerBytes", s.AnswerBytes, remedy)
	faults.AddUnless(s.MaxAnswerBytes > 0, "MaxAnswerBytes", s.MaxAnswerBytes, remedy)
	faults.AddUnless(s.AnswerWindowBytes > 0, "AnswerWindowBytes", s.AnswerWindowBytes, remedy)
	faults.AddUnless(s.OutcomeBytes > s.MaxAnswerBytes, "OutcomeBytes", s.OutcomeBytes, "give more than MaxAnswerBytes")
}

// checkAddress adds a fault unless address is an IP address and port.
func checkAddress(faults *lavsettings.Faults, path, address string) {
	_, err := netip.ParseAddrPort(address)
	faults.AddUnless(err == nil, path, address, "give an IP address and port as IP:port")
}

// isURL reports whether text is an HTTP or HTTPS URL with a host.
func isURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}
