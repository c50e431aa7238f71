package replay

import "math"

// festivalCallers are the shares of the festival's chats.
var festivalCallers = []share{{"residents", 0.45}, {"design-chat", 0.25}, {"schools", 0.2}, {"parishes", 0.1}}

// clerks send dossiers and can wait.
var clerks = []share{{"clerks", 1}}

// Rates of the festival, in requests a second.
const (
	festivalChats       = 16
	festivalChatsLow    = 10
	festivalDossiers    = 2.5
	festivalDossiersLow = 0.2
	festivalOrders      = 2
	festivalLookups     = 3
)

// Sizes of a dossier, in tokens.
const (
	dossierLow, dossierHigh = 4000, 16000
	dossierAnswer           = 300
)

// hump rises from 0 to 1 and falls back between two shares of the time, with
// ramps of a twentieth.
func hump(at, from, to float64) float64 {
	const ramp = 0.05
	return math.Max(0, math.Min(1, math.Min((at-from)/ramp, (to-at)/ramp)))
}

// festivalDay shifts from chats to dossiers and back.
func festivalDay(g *generator) {
	shift := func(at float64) float64 { return hump(at, 0.3, 0.7) }
	g.chats(festivalChats, func(at float64) float64 {
		return festivalChats - (festivalChats-festivalChatsLow)*shift(at)
	}, festivalCallers)
	g.documents(festivalDossiers, func(at float64) float64 {
		return festivalDossiersLow + (festivalDossiers-festivalDossiersLow)*shift(at)
	}, clerks, "dossier", dossierLow, dossierHigh, dossierAnswer)
	festivalService(g)
}

// festivalService adds the orders and the status checks of all festival traces.
func festivalService(g *generator) {
	g.calls(festivalOrders, constant(festivalOrders), festivalCallers, "POST /orders", false)
	g.calls(festivalLookups, constant(festivalLookups), clerks, "GET /status", true)
}

// Chats a second of the schools within their rate, and the factor by which
// they exceed it.
const (
	schoolChats = 6
	surgeFactor = 5
)

// tenantSurge lets the schools send five times their rate.
func tenantSurge(g *generator) {
	others := []share{{"residents", 0.55}, {"design-chat", 0.3}, {"parishes", 0.15}}
	g.chats(festivalChatsLow, constant(festivalChatsLow), others)
	g.chats(schoolChats*surgeFactor, func(at float64) float64 {
		return schoolChats * (1 + (surgeFactor-1)*hump(at, 0.33, 0.67))
	}, []share{{"schools", 1}})
	g.documents(festivalDossiersLow, constant(festivalDossiersLow), clerks, "dossier", dossierLow, dossierHigh, dossierAnswer)
	festivalService(g)
}

// domainLoss loses one of three domains for a third of the time.
func domainLoss(g *generator) {
	g.chats(festivalChats, constant(festivalChats), festivalCallers)
	g.documents(festivalDossiersLow, constant(festivalDossiersLow), clerks, "dossier", dossierLow, dossierHigh, dossierAnswer)
	festivalService(g)
	g.event(0.35, "lose-domain", "melnik")
	g.event(0.7, "return-domain", "melnik")
}
