package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
)

const (
	// adminTimeout bounds one request to an admin address, including its response.
	adminTimeout = 3 * time.Second
	// maxAdminBytes is the largest response body that is read. A longer one is cut
	// off and fails to decode.
	maxAdminBytes = 8 << 20
)

// fetchAdmin gets path from a balancer's admin address and decodes the JSON
// response into v. A response other than 200 OK is an error.
func fetchAdmin(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrapf(err, "querying the admin address %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "querying the admin address %s", address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdminBytes))
	if err != nil {
		return errors.Wrapf(err, "reading the response of %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the admin address %s answered %s: %s", address, response.Status, strings.TrimSpace(string(body)))
	}
	return errors.Wrapf(json.Unmarshal(body, v), "reading the response of %s", address)
}
