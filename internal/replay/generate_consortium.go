package replay

// workshopShares are the shares of the three competing workshops.
var workshopShares = []workspaceShare{{"olumo-workshop", 0.4}, {"ake-workshop", 0.35}, {"bodija-workshop", 0.25}}

// consortiumShares are the shares of the consortium's short chats and service
// calls.
var consortiumShares = []workspaceShare{{"buyers", 0.55}, {"photo-tags", 0.15}, {"olumo-workshop", 0.1}, {"ake-workshop", 0.1}, {"bodija-workshop", 0.1}}

// Arrival rates of the consortium, in requests per second.
const (
	consortiumChatRate    = 12
	cataloguePeakRate     = 3
	catalogueBaseRate     = 0.2
	consortiumDepositRate = 3
	consortiumStockRate   = 6
)

// Token counts of a prompt about a catalogue.
const (
	catalogueMinTokens, catalogueMaxTokens = 6000, 20000
	catalogueOutputMaxTokens               = 400
)

// catalogueBurst generates two bursts of long catalogue prompts on top of a
// constant rate of short chats.
func catalogueBurst(g *generator) {
	g.addChats(consortiumChatRate, constantRate(consortiumChatRate), consortiumShares)
	g.addDocumentPrompts(cataloguePeakRate, func(position float64) float64 {
		return catalogueBaseRate + (cataloguePeakRate-catalogueBaseRate)*max(trapezoid(position, 0.2, 0.4), trapezoid(position, 0.6, 0.8))
	}, workshopShares, "catalogue", catalogueMinTokens, catalogueMaxTokens, catalogueOutputMaxTokens)
	addConsortiumCalls(g)
}

// addConsortiumCalls adds deposits and stock lookups.
func addConsortiumCalls(g *generator) {
	g.addServiceCalls(consortiumDepositRate, constantRate(consortiumDepositRate), consortiumShares, "POST /deposits", false)
	g.addServiceCalls(consortiumStockRate, constantRate(consortiumStockRate), consortiumShares, "GET /stock", true)
}

// depositLoss loses an entry host under a high rate of deposits and returns it
// later.
func depositLoss(g *generator) {
	const depositFactor = 3
	g.addChats(consortiumChatRate/2, constantRate(consortiumChatRate/2), consortiumShares)
	g.addServiceCalls(consortiumDepositRate*depositFactor, constantRate(consortiumDepositRate*depositFactor), consortiumShares, "POST /deposits", false)
	g.addServiceCalls(consortiumStockRate, constantRate(consortiumStockRate), consortiumShares, "GET /stock", true)
	g.addEvent(0.35, "lose-entry", "1")
	g.addEvent(0.7, "return-entry", "1")
}
