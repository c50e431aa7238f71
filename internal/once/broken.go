package once

// brokenVariant switches off parts of the mechanism, to prove that the tests
// catch it. All fields are false outside tests.
type brokenVariant struct {
	// takeOver gives the claim of another request away.
	takeOver bool
	// freeUnknown frees a key after an unknown outcome.
	freeUnknown bool
	// ignoreLost takes a lost answer of the store for a claim.
	ignoreLost bool
}

func (b *brokenVariant) mayTakeOver(found *record) bool {
	return b.takeOver && found.state == stateClaimed
}
