package lavlog

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// The fields that log lines of every process share.
const (
	FieldRequest = "request_id"
	FieldAccount = "account_id"
	FieldAttempt = "attempt_id"
	FieldConfig  = "config_number"
	FieldServer  = "backend_server_id"
	FieldPeer    = "peer"
	FieldVersion = "version_id"
	FieldHost    = "host_id"
	// FieldAgo is for how many milliseconds before the line was written its event happened.
	FieldAgo = "ago_ms"
)

// New returns a logger that writes JSON lines of at least the level, such as "info", to w.
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
