package lavsetting

import (
	"net/netip"
	"net/url"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavsettings"
)

// Settings are read from a JSON file at start.
type Settings struct {
	HostID        lavid.HostID
	DataCentre    lavid.DataCentreID
	BackendServer lavid.BackendServerID
	// Address is where entry hosts reach the side process, as IP:port.
	Address string
	// BackendAddress is the base URL of the backend server.
	BackendAddress string
	// PlatformAddress is the base URL of the platform.
	PlatformAddress string
	LogLevel        string
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout lavsettings.Duration
	// HeartbeatInterval separates heartbeat frames of an answer stream.
	HeartbeatInterval lavsettings.Duration
	// KeepAnswers is how long a finished answer can still be attached.
	KeepAnswers lavsettings.Duration
}

// Read returns the checked settings of a file, or all its faults.
func Read(path string) (Settings, error) {
	settings := defaults()
	if err := lavsettings.Read(path, &settings); err != nil {
		return Settings{}, err
	}
	return settings, settings.check()
}

func defaults() Settings {
	return Settings{
		LogLevel:          "info",
		DrainTimeout:      lavsettings.Duration{Duration: 2 * time.Minute},
		HeartbeatInterval: lavsettings.Duration{Duration: 300 * time.Millisecond},
		KeepAnswers:       lavsettings.Duration{Duration: time.Minute},
	}
}

func (s Settings) check() error {
	var faults lavsettings.Faults
	faults.Add(s.HostID != "", "HostID", s.HostID, "name this host")
	faults.Add(s.DataCentre != "", "DataCentre", s.DataCentre, "name the data centre of this host")
	faults.Add(s.BackendServer != "", "BackendServer", s.BackendServer, "name the backend server as the configuration does")
	_, err := netip.ParseAddrPort(s.Address)
	faults.Add(err == nil, "Address", s.Address, "give IP:port")
	faults.Add(isURL(s.BackendAddress), "BackendAddress", s.BackendAddress, "give a URL such as http://127.0.0.1:8000")
	faults.Add(isURL(s.PlatformAddress), "PlatformAddress", s.PlatformAddress, "give a URL such as http://127.0.0.1:7000")
	faults.Add(s.DrainTimeout.Duration > 0, "DrainTimeout", s.DrainTimeout, "give a time above zero")
	faults.Add(s.HeartbeatInterval.Duration > 0, "HeartbeatInterval", s.HeartbeatInterval, "give a time above zero")
	faults.Add(s.KeepAnswers.Duration > 0, "KeepAnswers", s.KeepAnswers, "give a time above zero")
	return faults.Err()
}

func isURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}
