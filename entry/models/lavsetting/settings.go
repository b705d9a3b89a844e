package lavsetting

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavkey"
	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/core/modules/lavtls"
)

// Settings holds the settings of an entry host. They are read from a JSON file at start.
type Settings struct {
	HostID     lavid.HostID
	DataCentre lavid.DataCentreID
	// CallerAddress is where this host listens for callers, as IP:port.
	CallerAddress string
	// OperatorAddress is where this host listens for operators, as IP:port.
	OperatorAddress string
	// PeerAddress is where this host listens for entry hosts and side processes, as IP:port.
	PeerAddress string
	// PlatformAddress is the base URL of the platform.
	PlatformAddress string
	// TLS secures all listeners and all calls between processes. Without it, every address must be a loopback address.
	TLS lavtls.Settings
	// Seeds are addresses of other hosts, as IP:port, that provide the configuration while the platform does not answer.
	Seeds []string
	// OperatorKeyHashes holds SHA-256 hashes of operators' keys in hexadecimal.
	OperatorKeyHashes []string
	// OperatorKeys holds operators' keys with the names under which their patches are recorded.
	OperatorKeys []OperatorKey
	// LogLevel is debug, info, warning or error.
	LogLevel string
	// RatingFalseAccept and RatingFalseReject are the rates at which the rating service accepts bad answers and rejects
	// good ones.
	RatingFalseAccept lavid.Share
	RatingFalseReject lavid.Share
	// RatingCost is the price of one rating.
	RatingCost lavid.NanoUnits
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout lavsettings.Duration
	// ReadinessDelay is how long the host still accepts requests after its readiness check has turned negative.
	ReadinessDelay lavsettings.Duration
	// RequestTimeout bounds a request whose caller sets no timeout.
	RequestTimeout lavsettings.Duration
	// QueueTimeout bounds the time that a request waits for free capacity at backend servers.
	QueueTimeout lavsettings.Duration
	// SilenceTimeout is how long a stream may send no frame before the host attaches to it again.
	SilenceTimeout lavsettings.Duration
}

// OperatorKey is the name and the hash of an operator's key.
type OperatorKey struct {
	Name string
	// Hash is the SHA-256 hash of the key in hexadecimal.
	Hash string
}

// keyNameDigits is the number of leading hash digits in the derived name of a key of OperatorKeyHashes.
const keyNameDigits = 8

// AllOperatorKeys returns OperatorKeys, and OperatorKeyHashes under names derived from the hashes.
func (s Settings) AllOperatorKeys() []OperatorKey {
	keys := slices.Clone(s.OperatorKeys)
	for _, hash := range s.OperatorKeyHashes {
		keys = append(keys, OperatorKey{Name: "key-" + hash[:min(keyNameDigits, len(hash))], Hash: hash})
	}
	return keys
}

// Read returns the valid settings of a file, or an error that lists all faults.
func Read(path string, overrides lavsettings.Overrides) (Settings, error) {
	settings := defaults()
	if err := lavsettings.ReadWithOverrides(path, &settings, overrides); err != nil {
		return Settings{}, err
	}
	return settings, settings.check()
}

func defaults() Settings {
	return Settings{
		LogLevel:       "info",
		DrainTimeout:   lavsettings.Duration{Duration: 2 * time.Minute},
		ReadinessDelay: lavsettings.Duration{Duration: 2 * time.Second},
		RequestTimeout: lavsettings.Duration{Duration: time.Minute},
		QueueTimeout:   lavsettings.Duration{Duration: 10 * time.Second},
		SilenceTimeout: lavsettings.Duration{Duration: time.Second},
	}
}

func (s Settings) check() error {
	var faults lavsettings.Faults
	faults.AddUnless(s.HostID != "", "HostID", s.HostID, "name this host")
	faults.AddUnless(s.DataCentre != "", "DataCentre", s.DataCentre, "name the data centre of this host")
	checkAddress(&faults, "CallerAddress", s.CallerAddress)
	checkAddress(&faults, "OperatorAddress", s.OperatorAddress)
	checkAddress(&faults, "PeerAddress", s.PeerAddress)
	faults.AddUnless(s.OperatorAddress != s.CallerAddress, "OperatorAddress", s.OperatorAddress, "give another address than CallerAddress")
	for _, seed := range s.Seeds {
		checkAddress(&faults, "Seeds", seed)
	}
	parsed, err := url.Parse(s.PlatformAddress)
	faults.AddUnless(err == nil && parsed.Host != "", "PlatformAddress", s.PlatformAddress, "give a URL such as http://127.0.0.1:7000")
	faults.AddUnless(isErrorRate(s.RatingFalseAccept), "RatingFalseAccept", s.RatingFalseAccept, "give a share from 0 to below 0.5")
	faults.AddUnless(isErrorRate(s.RatingFalseReject), "RatingFalseReject", s.RatingFalseReject, "give a share from 0 to below 0.5")
	faults.AddUnless(s.RatingCost >= 0, "RatingCost", s.RatingCost, "give a price of zero or more, in billionths")
	_, err = logrus.ParseLevel(s.LogLevel)
	faults.AddUnless(err == nil, "LogLevel", s.LogLevel, "give debug, info, warning or error")
	s.checkKeys(&faults)
	s.TLS.Check(&faults, "TLS", s.CallerAddress, s.OperatorAddress, s.PeerAddress)
	faults.AddUnless(s.DrainTimeout.Duration > 0, "DrainTimeout", s.DrainTimeout, "give a time above zero")
	faults.AddUnless(s.ReadinessDelay.Duration >= 0, "ReadinessDelay", s.ReadinessDelay, "give a time of zero or more")
	faults.AddUnless(s.RequestTimeout.Duration > 0, "RequestTimeout", s.RequestTimeout, "give a time above zero")
	faults.AddUnless(s.QueueTimeout.Duration > 0, "QueueTimeout", s.QueueTimeout, "give a time above zero")
	faults.AddUnless(s.SilenceTimeout.Duration > 0, "SilenceTimeout", s.SilenceTimeout, "give a time above zero")
	return faults.Err()
}

func (s Settings) checkKeys(faults *lavsettings.Faults) {
	keys := s.AllOperatorKeys()
	faults.AddUnless(len(keys) > 0, "OperatorKeys", len(keys), "give the name and the SHA-256 hash of at least one operator's key; lavenderctl hash-key makes the hash")
	names := make(map[string]bool)
	for i, key := range s.OperatorKeys {
		path := fmt.Sprintf("OperatorKeys/%d", i)
		faults.AddUnless(key.Name != "" && !names[key.Name], path+"/Name", key.Name, "give each operator's key a name of its own")
		names[key.Name] = true
	}
	for _, key := range keys {
		faults.AddUnless(lavkey.IsHash(key.Hash), "OperatorKeys", key.Hash, "give the SHA-256 hash in 64 lower-case hexadecimal digits; lavenderctl hash-key makes it")
	}
}

// isErrorRate reports whether a share is valid as an error rate. Ratings that are wrong half of the time carry no
// information.
func isErrorRate(share lavid.Share) bool {
	return share >= 0 && share < 0.5
}

func checkAddress(faults *lavsettings.Faults, path, address string) {
	_, err := netip.ParseAddrPort(address)
	faults.AddUnless(err == nil, path, address, "give IP:port")
}
