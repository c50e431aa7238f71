package opsapi

import (
	"context"
	"log/slog"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// Configuration is the subset of *snapshot.Replica that the API uses.
type Configuration interface {
	Current() *snapshot.View
	Change(ctx context.Context, edit snapshot.Edit) (snapshot.Outcome, error)
	ReplaceVoters(ctx context.Context, gone []string) (snapshot.Outcome, error)
	Propagation(ctx context.Context, revision resource.Revision) snapshot.Propagation
	Changed() <-chan struct{}
	ChangesAfter(revision resource.Revision) ([]snapshot.Change, bool)
}

// Operator is a person or program that may use the API.
type Operator struct {
	// Name identifies the operator in the audit log.
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the bearer token.
	TokenSHA256 string
}

// Options configures the API.
type Options struct {
	Configuration Configuration
	// Operators lists the operators that may use the API.
	Operators []Operator
	// MaxWatches is the maximum number of concurrent watches, DefaultMaxWatches if
	// zero.
	MaxWatches int
	// Host is the name of this entry host in responses.
	Host string
	// Logger receives the audit log and errors of the API. Nil discards them.
	Logger *slog.Logger
	// Conditions returns additional conditions of a resource from other parts of
	// the process. It may be nil.
	Conditions func(r resource.Resource) []resource.Condition
}

// Limits of the API.
const (
	// maxBodyBytes is the maximum size of a request body with one resource.
	maxBodyBytes = 256 << 10
	// maxApplyBytes is the maximum size of a request body with many resources.
	maxApplyBytes = 32 << 20
	// maxConcurrentChanges is the maximum number of changes in progress.
	maxConcurrentChanges = 8
	// DefaultMaxWatches is the default maximum number of concurrent watches.
	DefaultMaxWatches = 256
	// maxListItems is the maximum number of resources in one page of a list.
	maxListItems = 1000
	// maxResourcesPerKind is the maximum number of resources of one kind.
	maxResourcesPerKind = 200_000
)
