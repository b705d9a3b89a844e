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

// Settings are read from a JSON file at start.
type Settings struct {
	HostID        lavid.HostID
	DataCentre    lavid.DataCentreID
	BackendServer lavid.BackendServerID
	// Address is where entry hosts and other side processes reach this one, as IP:port.
	Address string
	// AdminAddress is where operators reach the state dump and the metrics, as IP:port; empty for no such listener.
	AdminAddress string
	// OperatorKeyHashes holds SHA-256 hashes of operators' keys in hexadecimal.
	OperatorKeyHashes []string
	// BackendAddress is the base URL of the backend server.
	BackendAddress string
	// PlatformAddress is the base URL of the platform.
	PlatformAddress string
	// Seeds are peer addresses of entry hosts to ask for the configuration while no other host is known.
	Seeds []string
	// TLS protects both listeners and all calls between processes; without it every address has to be on the loopback interface.
	TLS      lavtls.Settings
	LogLevel string
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout lavsettings.Duration
	// ReadinessDelay is how long new work is refused before the listener closes.
	ReadinessDelay lavsettings.Duration
	// HeartbeatInterval separates heartbeat frames of an answer stream.
	HeartbeatInterval lavsettings.Duration
	// KeepAnswers is how long a finished answer can still be attached.
	KeepAnswers lavsettings.Duration
	// KeepAttempts is how long the end of an attempt is remembered.
	KeepAttempts lavsettings.Duration
	// SilenceTimeout is how long an engine may send nothing before its connection is checked.
	SilenceTimeout lavsettings.Duration
	// CallTimeout bounds a silence of a plain service in a call that may be repeated.
	CallTimeout lavsettings.Duration
	// OutcomeTimeout is how long the outcome of a call that may not be repeated is awaited after its caller's deadline.
	OutcomeTimeout lavsettings.Duration
	// OrphanTimeout is how long an attempt that may be repeated goes on without a reader.
	OrphanTimeout lavsettings.Duration
	// AnswerBytes bounds the memory of all answers.
	AnswerBytes int64
	// MaxAnswerBytes bounds the answer of one call that may not be repeated.
	MaxAnswerBytes int
	// AnswerWindowBytes bounds how far an engine may be ahead of a slow reader.
	AnswerWindowBytes int
	// OutcomeBytes bounds the outcomes that wait for the table service.
	OutcomeBytes int
}

// Read returns the checked settings of a file with the overrides applied, or all their faults.
func Read(path string, overrides lavsettings.Overrides) (Settings, error) {
	settings := defaults()
	if err := lavsettings.ReadWithOverrides(path, &settings, overrides); err != nil {
		return Settings{}, err
	}
	return settings, settings.check()
}

const (
	defaultAnswerBytes  = 256 << 20
	defaultMaxAnswer    = 8 << 20
	defaultAnswerWindow = 1 << 20
	defaultOutcomeBytes = 64 << 20
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
		MaxAnswerBytes:    defaultMaxAnswer,
		AnswerWindowBytes: defaultAnswerWindow,
		OutcomeBytes:      defaultOutcomeBytes,
	}
}

// leastKeepAttempts is longer than any attempt's timeout, so that no attempt is forgotten while its request lives.
const leastKeepAttempts = time.Hour

func (s Settings) check() error {
	var faults lavsettings.Faults
	faults.AddUnless(s.HostID != "", "HostID", s.HostID, "name this host")
	faults.AddUnless(s.DataCentre != "", "DataCentre", s.DataCentre, "name the data centre of this host")
	faults.AddUnless(s.BackendServer != "", "BackendServer", s.BackendServer, "name the backend server as the configuration does")
	checkAddress(&faults, "Address", s.Address)
	if s.AdminAddress != "" {
		checkAddress(&faults, "AdminAddress", s.AdminAddress)
		faults.AddUnless(s.AdminAddress != s.Address, "AdminAddress", s.AdminAddress, "give another port than Address")
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
	const remedy = "give a time above zero"
	faults.AddUnless(s.DrainTimeout.Duration > 0, "DrainTimeout", s.DrainTimeout, remedy)
	faults.AddUnless(s.ReadinessDelay.Duration >= 0, "ReadinessDelay", s.ReadinessDelay, "give a time of zero or more")
	faults.AddUnless(s.HeartbeatInterval.Duration > 0, "HeartbeatInterval", s.HeartbeatInterval, remedy)
	faults.AddUnless(s.KeepAnswers.Duration > 0, "KeepAnswers", s.KeepAnswers, remedy)
	faults.AddUnless(s.KeepAttempts.Duration > leastKeepAttempts, "KeepAttempts", s.KeepAttempts, "give a time above "+leastKeepAttempts.String())
	faults.AddUnless(s.SilenceTimeout.Duration > 0, "SilenceTimeout", s.SilenceTimeout, remedy)
	faults.AddUnless(s.CallTimeout.Duration > 0, "CallTimeout", s.CallTimeout, remedy)
	faults.AddUnless(s.OutcomeTimeout.Duration >= 0, "OutcomeTimeout", s.OutcomeTimeout, "give a time of zero or more")
	faults.AddUnless(s.OrphanTimeout.Duration > 0, "OrphanTimeout", s.OrphanTimeout, remedy)
}

func (s Settings) checkBytes(faults *lavsettings.Faults) {
	const remedy = "give a number of bytes above zero"
	faults.AddUnless(s.AnswerBytes > 0, "AnswerBytes", s.AnswerBytes, remedy)
	faults.AddUnless(s.MaxAnswerBytes > 0, "MaxAnswerBytes", s.MaxAnswerBytes, remedy)
	faults.AddUnless(s.AnswerWindowBytes > 0, "AnswerWindowBytes", s.AnswerWindowBytes, remedy)
	faults.AddUnless(s.OutcomeBytes > s.MaxAnswerBytes, "OutcomeBytes", s.OutcomeBytes, "give more than MaxAnswerBytes")
}

func checkAddress(faults *lavsettings.Faults, path, address string) {
	_, err := netip.ParseAddrPort(address)
	faults.AddUnless(err == nil, path, address, "give IP:port")
}

func isURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}
