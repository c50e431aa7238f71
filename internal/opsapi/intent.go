package opsapi

import (
	"fmt"

	"github.com/acacialink/acacialink/internal/resource"
)

// action is what an operator asks for.
type action string

const (
	actionCreate action = "create"
	actionUpdate action = "update"
	// actionApply creates or updates.
	actionApply  action = "apply"
	actionDelete action = "delete"
)

// intent is one resource of a requested change.
type intent struct {
	action   action
	resource resource.Resource
	// expect is the revision that the resource must have; zero for any.
	expect resource.Revision
	// secret is a new key's secret, made before the change is tried, so that
	// each try writes the same one.
	secret string
}

// newIntent returns the intent for a resource as the operator sent it. The
// revision that the resource carries is the one expected.
func newIntent(a action, r resource.Resource) intent {
	in := intent{action: a, resource: r, expect: r.Revision}
	if r.Kind == resource.KindKey && a != actionDelete {
		in.secret = newSecret()
	}
	return in
}

// id names the resource in messages.
func (in intent) id() string { return fmt.Sprintf("%s/%s", in.resource.Kind, in.resource.Name) }
