package explainer_test

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/explainer"
)

// Guards against invalid parameters that are accepted, or reported under a wrong name.
func TestParseFlow(t *testing.T) {
	is := is.New(t)
	f, err := explainer.ParseFlow(url.Values{"service": {"198.51.100.10:443"}, "source": {"203.0.113.7:50123"}, "protocol": {"tcp"}})
	is.NoErr(err)
	is.Equal(f.Service.String(), "198.51.100.10:443")
	is.Equal(f.Source.String(), "203.0.113.7:50123")
	is.True(f.TCP)
	for name, bad := range map[string]url.Values{
		"service":  {"service": {"nowhere"}, "source": {"203.0.113.7:50123"}},
		"source":   {"service": {"198.51.100.10:443"}},
		"protocol": {"service": {"198.51.100.10:443"}, "source": {"203.0.113.7:50123"}, "protocol": {"icmp"}},
	} {
		_, err := explainer.ParseFlow(bad)
		var parameterErr *explainer.ParameterError
		is.True(errors.As(err, &parameterErr))
		is.Equal(parameterErr.Name(), name)
	}
}

// Guards the status and content type of responses to valid and invalid requests.
func TestNewHandler(t *testing.T) {
	is := is.New(t)
	h := explainer.NewHandler(func(r *http.Request) (any, error) {
		_, err := explainer.ParseFlow(r.URL.Query())
		return explainer.Status{Name: "a"}, err
	})
	w := httptest.NewRecorder()
	h(w, httptest.NewRequest(http.MethodGet, "/?service=1.1.1.1:1&source=1.1.1.1:2", nil))
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Header().Get("Content-Type"), "application/json")
	w = httptest.NewRecorder()
	h(w, httptest.NewRequest(http.MethodGet, "/", nil))
	is.Equal(w.Code, http.StatusBadRequest)
}
