package lavplain

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

// fullJournal stores nothing more.
type fullJournal struct{}

func (fullJournal) Append(lavtruth.Run) error { return errors.New("no space left on device") }

// TestCallThatIsNotOnRecordTakesNoCapacity guards against a service that refuses all calls after its journal has failed
// once, and against a run in the ground truth that never ran.
func TestCallThatIsNotOnRecordTakesNoCapacity(t *testing.T) {
	is := is.New(t)
	service := New(Settings{Capacity: 1, Journal: fullJournal{}}, lavfault.New(), time.Now())
	for range 3 {
		recorder := httptest.NewRecorder()
		service.Routes().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/submit", strings.NewReader("x")))
		is.True(recorder.Code != http.StatusOK)
	}
	is.Equal(service.running, 0)
	is.Equal(len(service.runs), 0)
}
