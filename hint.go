package main

import (
	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/loader"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/server"
)

// hint returns what the user can do next about err. It is empty if there is no
// advice, or if the message of err gives it.
func hint(err error) string {
	var conflict *publisher.RaceError
	var unknown *publisher.OutcomeUnknownError
	var largeChange *operator.LargeChangeError
	var noRevision *publisher.NoRevisionError
	var settings *server.SettingsError
	var value *loader.ValueError
	var unavailable *consul.UnavailableError
	var limited *consul.RateLimitedError
	var tooLarge *consul.ValueSizeError
	switch {
	case errors.As(err, &conflict):
		return "nothing was changed; see the other change with `trefoilspring history`, then apply on top of it"
	case errors.As(err, &unknown):
		return "look for the change in `trefoilspring history` once the platform answers; applying the folder again is safe"
	case errors.As(err, &largeChange):
		return "nothing was changed; add --allow-large-change if this is meant"
	case errors.As(err, &noRevision):
		return "choose a revision that `trefoilspring history` lists"
	case errors.As(err, &settings), errors.As(err, &value):
		return "mend the file; `trefoilspring check-settings` checks it without starting a balancer"
	case isInvalidInput(err):
		return "nothing was changed; mend the file and run again"
	case errors.As(err, &unavailable), errors.As(err, &limited):
		return "nothing was changed; run again once the platform answers"
	case errors.As(err, &tooLarge):
		return "nothing was changed; split the change into smaller ones"
	}
	return ""
}
