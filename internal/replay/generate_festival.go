package replay

import "math"

// festivalShares are the shares of the festival's chats and orders.
var festivalShares = []workspaceShare{{"residents", 0.45}, {"design-chat", 0.25}, {"schools", 0.2}, {"parishes", 0.1}}

// clerkShares assign all requests of a stream to the clerks, who send dossiers
// with batch priority.
var clerkShares = []workspaceShare{{"clerks", 1}}

// Arrival rates of the festival, in requests per second.
const (
	festivalChatRate        = 16
	festivalReducedChatRate = 10
	festivalPeakDossierRate = 2.5
	festivalBaseDossierRate = 0.2
	festivalOrderRate       = 2
	festivalStatusRate      = 3
)

// Token counts of a prompt about a dossier.
const (
	dossierMinTokens, dossierMaxTokens = 4000, 16000
	dossierOutputMaxTokens             = 300
)

// trapezoid is a trapezoidal pulse: it is 0 outside of [from, to] and 1 inside,
// with linear ramps of a twentieth of the trace at both ends. All arguments are
// fractions of the trace's length.
func trapezoid(position, from, to float64) float64 {
	const ramp = 0.05
	return math.Max(0, math.Min(1, math.Min((position-from)/ramp, (to-position)/ramp)))
}

// festivalDay shifts the load from chats to dossiers and back.
func festivalDay(g *generator) {
	shift := func(position float64) float64 { return trapezoid(position, 0.3, 0.7) }
	g.addChats(festivalChatRate, func(position float64) float64 {
		return festivalChatRate - (festivalChatRate-festivalReducedChatRate)*shift(position)
	}, festivalShares)
	g.addDocumentPrompts(festivalPeakDossierRate, func(position float64) float64 {
		return festivalBaseDossierRate + (festivalPeakDossierRate-festivalBaseDossierRate)*shift(position)
	}, clerkShares, "dossier", dossierMinTokens, dossierMaxTokens, dossierOutputMaxTokens)
	addFestivalCalls(g)
}

// addFestivalCalls adds the orders and status checks that all festival scenarios
// have in common.
func addFestivalCalls(g *generator) {
	g.addServiceCalls(festivalOrderRate, constantRate(festivalOrderRate), festivalShares, "POST /orders", false)
	g.addServiceCalls(festivalStatusRate, constantRate(festivalStatusRate), clerkShares, "GET /status", true)
}

// schoolsChatRate is the schools' normal rate in chats per second. surgeFactor is
// the factor by which it rises during the surge.
const (
	schoolsChatRate = 6
	surgeFactor     = 5
)

// tenantSurge makes the schools send five times their rate for a third of the
// time.
func tenantSurge(g *generator) {
	others := []workspaceShare{{"residents", 0.55}, {"design-chat", 0.3}, {"parishes", 0.15}}
	g.addChats(festivalReducedChatRate, constantRate(festivalReducedChatRate), others)
	g.addChats(schoolsChatRate*surgeFactor, func(position float64) float64 {
		return schoolsChatRate * (1 + (surgeFactor-1)*trapezoid(position, 0.33, 0.67))
	}, []workspaceShare{{"schools", 1}})
	g.addDocumentPrompts(festivalBaseDossierRate, constantRate(festivalBaseDossierRate), clerkShares, "dossier", dossierMinTokens, dossierMaxTokens, dossierOutputMaxTokens)
	addFestivalCalls(g)
}

// domainLoss loses one of three failure domains for a third of the time.
func domainLoss(g *generator) {
	g.addChats(festivalChatRate, constantRate(festivalChatRate), festivalShares)
	g.addDocumentPrompts(festivalBaseDossierRate, constantRate(festivalBaseDossierRate), clerkShares, "dossier", dossierMinTokens, dossierMaxTokens, dossierOutputMaxTokens)
	addFestivalCalls(g)
	g.addEvent(0.35, "lose-domain", "melnik")
	g.addEvent(0.7, "return-domain", "melnik")
}
