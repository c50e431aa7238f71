package once

import "context"

type claimIDKey struct{}

// withClaimID returns a context that carries the mark of a claim.
func withClaimID(ctx context.Context, m mark) context.Context {
	return context.WithValue(ctx, claimIDKey{}, m.String())
}

// ClaimID returns the claim under which the send function of Run was called.
// It is unique for each call of the send function.
func ClaimID(ctx context.Context) string {
	id, _ := ctx.Value(claimIDKey{}).(string)
	return id
}
