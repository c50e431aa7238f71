package opsapi

import (
	"context"
	"log/slog"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// Configuration is what the interface needs of the configuration; it is a
// *snapshot.Holder in the product.
type Configuration interface {
	Current() *snapshot.View
	Change(ctx context.Context, edit snapshot.Edit) (snapshot.Outcome, error)
	ReplaceVoters(ctx context.Context, gone []string) (snapshot.Outcome, error)
	Spread(ctx context.Context, revision resource.Revision) snapshot.Spread
	Changed() <-chan struct{}
	ChangesAfter(revision resource.Revision) ([]snapshot.Change, bool)
}

// Operator is one who may use the interface.
type Operator struct {
	// Name stands in the audit log.
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the bearer token.
	TokenSHA256 string
}

// Options configure the interface.
type Options struct {
	Configuration Configuration
	Operators     []Operator
	// Watches bounds the watches that wait at a time, DefaultWatches for zero.
	Watches int
	// Host names this entry host in answers.
	Host string
	// Logger takes the audit log and faults of the interface.
	Logger *slog.Logger
	// Conditions adds conditions that other parts of the process report about
	// a resource; it may be nil.
	Conditions func(r resource.Resource) []resource.Condition
}

// Bounds of the interface.
const (
	// maxBodyBytes bounds one resource, maxApplyBytes many in one change.
	maxBodyBytes  = 256 << 10
	maxApplyBytes = 32 << 20
	// maxChanges bounds the changes in work at a time.
	maxChanges = 8
	// DefaultWatches bounds the watches that wait at a time.
	DefaultWatches = 256
	// maxListed bounds the resources of one list answer.
	maxListed = 1000
	// maxResources bounds the resources of a kind.
	maxResources = 200_000
)
