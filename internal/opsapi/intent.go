package opsapi

import (
	"fmt"

	"github.com/acacialink/acacialink/internal/resource"
)

// action is the kind of change that an operator requests for a resource.
type action string

const (
	actionCreate action = "create"
	actionUpdate action = "update"
	// actionApply creates the resource or updates an existing one.
	actionApply  action = "apply"
	actionDelete action = "delete"
)

// intent is the requested action on one resource of a change.
type intent struct {
	action   action
	resource resource.Resource
	// expectedRevision is the revision that the resource must have, zero for any.
	expectedRevision resource.Revision
	// secret is the secret for a new key. It is generated before the first
	// attempt to write the change, so that all attempts write the same secret.
	secret string
}

// newIntent returns the intent for a resource as sent by the operator. The
// expected revision is that of the resource.
func newIntent(a action, r resource.Resource) intent {
	in := intent{action: a, resource: r, expectedRevision: r.Revision}
	if r.Kind == resource.KindKey && a != actionDelete {
		in.secret = newSecret()
	}
	return in
}

// id returns "kind/name", which identifies the resource in messages.
func (in intent) id() string { return fmt.Sprintf("%s/%s", in.resource.Kind, in.resource.Name) }
