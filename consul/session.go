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
	sessionPath = "/v1/session/"
	// invalidSession is in the answer to a call by a session that has ended.
	invalidSession = "invalid session"
)

// sessionSpec is the body of a request for a session.
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
		// Fencing makes a delay before the next holder needless.
		LockDelay: "0s",
	})
	if err != nil {
		return "", errors.Wrap(err, "encoding the session")
	}
	req := call{operation: "create-session", method: http.MethodPut, path: sessionPath + "create", key: name, body: body}
	a, err := c.do(ctx, req)
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	err = json.Unmarshal(a.body, &created)
	if err != nil || created.ID == "" {
		cause := errors.Newf("no session id: %s", firstLine(a.body))
		return "", &AnswerError{operation: req.operation, key: name, status: a.status, cause: cause}
	}
	return created.ID, nil
}

func (c *client) renewSession(ctx context.Context, session string) error {
	return c.session(ctx, "renew", session)
}

func (c *client) destroySession(ctx context.Context, session string) error {
	return c.session(ctx, "destroy", session)
}

func (c *client) session(ctx context.Context, verb, session string) error {
	req := call{
		operation: verb + "-session",
		method:    http.MethodPut,
		path:      sessionPath + verb + "/" + url.PathEscape(session),
		key:       session,
	}
	a, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	switch a.status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return NewLapsedError(session)
	}
	cause := errors.Newf("refused: %s", firstLine(a.body))
	return &AnswerError{operation: req.operation, key: session, status: a.status, cause: cause}
}

func (c *client) acquire(ctx context.Context, key, session string, value []byte) error {
	return c.lock(ctx, "acquire", key, session, value)
}

func (c *client) release(ctx context.Context, key, session string, value []byte) error {
	return c.lock(ctx, "release", key, session, value)
}

func (c *client) lock(ctx context.Context, verb, key, session string, value []byte) error {
	query := url.Values{verb: {session}}
	err := c.write(ctx, call{operation: verb, method: http.MethodPut, key: key, query: query, body: value}, 0)
	var unknown *UnknownOutcomeError
	if errors.As(err, &unknown) && strings.Contains(unknown.Error(), invalidSession) {
		return NewLapsedError(session)
	}
	return err
}
