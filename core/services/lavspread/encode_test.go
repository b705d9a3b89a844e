package lavspread

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDocumentOverTheLimitIsAnError guards against a configuration that is cut at the limit and then fails as damaged, or
// decodes without its end.
func TestDocumentOverTheLimitIsAnError(t *testing.T) {
	is := is.New(t)
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, err := writer.Write([]byte("{}"))
	is.NoErr(err)
	blanks := bytes.Repeat([]byte(" "), 1<<20)
	for range maxDocumentBytes / len(blanks) {
		_, err = writer.Write(blanks)
		is.NoErr(err)
	}
	is.NoErr(writer.Close())
	_, err = decompress(buffer.Bytes())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "larger than"))
}
