package idempotency

import "context"

type claimIDKey struct{}

// withClaimID returns a context that carries the claim ID.
func withClaimID(ctx context.Context, id claimID) context.Context {
	return context.WithValue(ctx, claimIDKey{}, id.String())
}

// ClaimID returns the claim ID, in hexadecimal, under which Run called the send
// function, or "" if ctx carries none. It is unique for each such call.
func ClaimID(ctx context.Context) string {
	id, _ := ctx.Value(claimIDKey{}).(string)
	return id
}
