package consul

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// sessionPath is the path of the session API.
	sessionPath = "/v1/session/"
	// invalidSessionText is part of the error response to a request to lock a key
	// for a session that no longer exists.
	invalidSessionText = "invalid session"
)

// sessionSpec is the body of a request that creates a session.
type sessionSpec struct {
	Name      string
	TTL       string
	Behavior  string
	LockDelay string
}

func (c *client) createSession(ctx context.Context, name string, ttl time.Duration) (string, error) {
	body, err := json.Marshal(sessionSpec{
		Name:     name,
		TTL:      ttl.String(),
		Behavior: "release",
		// No delay is needed before another session may acquire a key, since the
		// holders are fenced by the key's LockIndex.
		LockDelay: "0s",
	})
	if err != nil {
		return "", errors.Wrap(err, "encoding the session")
	}
	req := request{operation: "create-session", method: http.MethodPut, path: sessionPath + "create", key: name, body: body}
	resp, err := c.do(ctx, req)
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	err = json.Unmarshal(resp.body, &created)
	if err != nil || created.ID == "" {
		cause := errors.Newf("the response has no session id: %s", firstLine(resp.body))
		return "", &ResponseError{operation: req.operation, key: name, status: resp.status, cause: cause}
	}
	return created.ID, nil
}

func (c *client) renewSession(ctx context.Context, session string) error {
	return c.updateSession(ctx, "renew", session)
}

func (c *client) destroySession(ctx context.Context, session string) error {
	return c.updateSession(ctx, "destroy", session)
}

// updateSession renews or destroys a session, as verb says.
func (c *client) updateSession(ctx context.Context, verb, session string) error {
	req := request{
		operation: verb + "-session",
		method:    http.MethodPut,
		path:      sessionPath + verb + "/" + url.PathEscape(session),
		key:       session,
	}
	resp, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	switch resp.status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return NewSessionLapsedError(session)
	}
	cause := errors.Newf("request refused: %s", firstLine(resp.body))
	return &ResponseError{operation: req.operation, key: session, status: resp.status, cause: cause}
}

func (c *client) acquire(ctx context.Context, key, session string, value []byte) error {
	return c.updateLock(ctx, "acquire", key, session, value)
}

func (c *client) release(ctx context.Context, key, session string, value []byte) error {
	return c.updateLock(ctx, "release", key, session, value)
}

// updateLock acquires or releases a key for a session, as verb says.
func (c *client) updateLock(ctx context.Context, verb, key, session string, value []byte) error {
	query := url.Values{verb: {session}}
	err := c.writeEntry(ctx, request{operation: verb, method: http.MethodPut, key: key, query: query, body: value}, 0)
	var unknown *UnknownOutcomeError
	if errors.As(err, &unknown) && strings.Contains(unknown.Error(), invalidSessionText) {
		return NewSessionLapsedError(session)
	}
	return err
}
