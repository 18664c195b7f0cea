package soak

import (
	"fmt"
	"net/http"
)

// unknownKeyViolation returns what is wrong with a request that arrived before a version held
// its key, or nothing.
func (o *organisations) unknownKeyViolation(arrived keyedArrival) string {
	if isSteady(arrived.key) {
		return ""
	}
	for _, rotating := range o.keys {
		if rotating.key == arrived.key && !arrived.ArrivedAt.Before(rotating.addedAt) {
			return ""
		}
	}
	return "ran with a key that no version held"
}

// isSteady reports whether all versions hold a key.
func isSteady(key string) bool {
	return key == keyOf(rotatingOrganisation) || key == keyOf(limitedOrganisation) || key == keyOf(farOrganisation)
}

// denialViolation returns what is wrong with the denial of a key that all versions hold, or
// nothing. Its caller does not try again.
func (r keyedRequest) denialViolation() string {
	if r.status == http.StatusUnauthorized && isSteady(r.key) {
		return fmt.Sprintf("denied (%d) with a key that all versions hold", r.status)
	}
	return ""
}
