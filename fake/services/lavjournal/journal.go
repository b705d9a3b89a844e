package lavjournal

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"

	"lavenderswitch/fake/models/lavtruth"
)

// Journal appends runs to a file. The zero Journal stores nothing.
type Journal struct {
	file *os.File
}

// Open opens the journal at path and returns it with the runs that it contains. With an empty path, the journal stores
// nothing.
func Open(path string) (*Journal, []lavtruth.Run, error) {
	if path == "" {
		return &Journal{}, nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600) //nolint:gosec // the test names the file
	if err != nil {
		return nil, nil, errors.Wrap(err, "open journal; give a writable file")
	}
	runs, err := read(file)
	if err != nil {
		return nil, nil, err
	}
	return &Journal{file: file}, runs, nil
}

func read(source io.Reader) ([]lavtruth.Run, error) {
	var runs []lavtruth.Run
	lines := bufio.NewScanner(source)
	for lines.Scan() {
		var run lavtruth.Run
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			return nil, errors.Wrap(err, "decode journal; remove the file")
		}
		runs = append(runs, run)
	}
	return runs, errors.Wrap(lines.Err(), "read journal")
}

// Append writes a run to the file. It must be called before the run starts.
func (j *Journal) Append(run lavtruth.Run) error {
	if j.file == nil {
		return nil
	}
	data, err := json.Marshal(run)
	if err != nil {
		return errors.Wrap(err, "encode run")
	}
	_, err = j.file.Write(append(data, '\n'))
	return errors.Wrap(err, "write run to the journal")
}
