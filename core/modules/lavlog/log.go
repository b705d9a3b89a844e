package lavlog

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// The log fields that all processes share.
const (
	FieldRequest = "request_id"
	FieldAccount = "account_id"
	FieldAttempt = "attempt_id"
	FieldConfig  = "config_number"
	FieldServer  = "backend_server_id"
	FieldPeer    = "peer"
	FieldVersion = "version_id"
	FieldHost    = "host_id"
	// FieldAgo is the time from the event to its log line, in milliseconds.
	FieldAgo = "ago_ms"
)

// New returns a logger that writes entries of at least the given level, such as "info", to w as JSON lines.
func New(w io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "parse log level; use debug, info, warning or error")
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logger, nil
}
