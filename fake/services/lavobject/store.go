package lavobject

import (
	"io"
	"net/http"
	"sync"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

const maxObjectBytes = 64 << 20

// Store holds objects by name.
type Store struct {
	faults  *lavfault.Injector
	mu      sync.Mutex
	objects map[string][]byte
}

// New returns an empty store.
func New(faults *lavfault.Injector) *Store {
	return &Store{faults: faults, objects: make(map[string][]byte)}
}

// Register adds the paths of the object store to a router.
func (s *Store) Register(router *httprouter.Router) {
	router.PUT("/objects/*name", s.put)
	router.GET("/objects/*name", s.get)
}

func objectCall(name string) lavfault.Call {
	return lavfault.Call{HeldCall: lavtruth.HeldCall{Step: lavtruth.StepObject, Key: name}}
}

func (s *Store) put(w http.ResponseWriter, request *http.Request, params httprouter.Params) {
	name := params.ByName("name")
	data, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxObjectBytes))
	if err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindTooLarge, "object is too large or incomplete", "send a smaller object"))
		return
	}
	done := s.faults.Do(request.Context(), objectCall(name), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.objects[name] = data
	})
	if !done {
		lavfault.WriteRefusal(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Store) get(w http.ResponseWriter, request *http.Request, params httprouter.Params) {
	name := params.ByName("name")
	var data []byte
	var ok bool
	done := s.faults.Do(request.Context(), objectCall(name), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		data, ok = s.objects[name]
	})
	if !done {
		lavfault.WriteRefusal(w)
		return
	}
	if !ok {
		lavhttp.WriteError(w, laverror.New(laverror.KindNotFound, "no such object", "check the name"))
		return
	}
	_, _ = w.Write(data)
}
