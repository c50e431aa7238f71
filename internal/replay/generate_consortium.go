package replay

// workshops are the three rivals.
var workshops = []share{{"olumo-workshop", 0.4}, {"ake-workshop", 0.35}, {"bodija-workshop", 0.25}}

// consortiumCallers are the shares of the consortium's short chats.
var consortiumCallers = []share{{"buyers", 0.55}, {"photo-tags", 0.15}, {"olumo-workshop", 0.1}, {"ake-workshop", 0.1}, {"bodija-workshop", 0.1}}

// Rates of the consortium, in requests a second.
const (
	consortiumChats    = 12
	catalogues         = 3
	cataloguesLow      = 0.2
	consortiumDeposits = 3
	consortiumStock    = 6
)

// Sizes of a catalogue, in tokens.
const (
	catalogueLow, catalogueHigh = 6000, 20000
	catalogueAnswer             = 400
)

// catalogueBurst sends two bursts of catalogues over short chats.
func catalogueBurst(g *generator) {
	g.chats(consortiumChats, constant(consortiumChats), consortiumCallers)
	g.documents(catalogues, func(at float64) float64 {
		return cataloguesLow + (catalogues-cataloguesLow)*max(hump(at, 0.2, 0.4), hump(at, 0.6, 0.8))
	}, workshops, "catalogue", catalogueLow, catalogueHigh, catalogueAnswer)
	consortiumService(g)
}

// consortiumService adds deposits and stock lookups.
func consortiumService(g *generator) {
	g.calls(consortiumDeposits, constant(consortiumDeposits), consortiumCallers, "POST /deposits", false)
	g.calls(consortiumStock, constant(consortiumStock), consortiumCallers, "GET /stock", true)
}

// depositLoss loses an entry host under deposits.
func depositLoss(g *generator) {
	const busy = 3
	g.chats(consortiumChats/2, constant(consortiumChats/2), consortiumCallers)
	g.calls(consortiumDeposits*busy, constant(consortiumDeposits*busy), consortiumCallers, "POST /deposits", false)
	g.calls(consortiumStock, constant(consortiumStock), consortiumCallers, "GET /stock", true)
	g.event(0.35, "lose-entry", "1")
	g.event(0.7, "return-entry", "1")
}
