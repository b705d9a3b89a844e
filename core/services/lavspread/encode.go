package lavspread

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
)

// maxDocumentBytes bounds a document after decompression.
const maxDocumentBytes = 64 << 20

// digest returns the hash of a document's JSON form.
func digest(document *lavconfig.Document) (uint64, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return 0, errors.Wrap(err, "encode configuration")
	}
	return xxhash.Sum64(data), nil
}

// compress returns the compressed JSON form of a document.
func compress(document *lavconfig.Document) ([]byte, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return buffer.Bytes(), nil
}

// decompress decodes the compressed JSON form; fields that this release does not define are ignored.
func decompress(data []byte) (*lavconfig.Document, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(text) > maxDocumentBytes {
		return nil, errors.Errorf("configuration is larger than %d bytes after decompression", maxDocumentBytes)
	}
	document := &lavconfig.Document{}
	if err := json.Unmarshal(text, document); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return document, nil
}
