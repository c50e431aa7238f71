package queue

import "github.com/acacialink/acacialink/internal/backing"

// Item is a request for admission.
type Item struct {
	Workspace string
	Class     Class
	// Weight is the workspace's relative share under contention. Values below 1
	// are treated as 1.
	Weight int
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int64
	// OutputTokens is the maximum length of the output, in tokens.
	OutputTokens int64
	// CachedTokens is the number of prompt tokens predicted to be served from an
	// engine's KV cache. They do not count as prefill work.
	CachedTokens int64
}

// outputCost is the cost of one output token relative to a prompt token in fair
// sharing.
const outputCost = 2

// cost returns the item's work as counted for shares of workspaces and lanes.
func (i *Item) cost() int64 { return i.PromptTokens + outputCost*i.OutputTokens }

// prefillTokens returns the expected prefill work, in tokens.
func (i *Item) prefillTokens() int64 { return max(0, i.PromptTokens-i.CachedTokens) }

func (i *Item) kvBlocks() int64 {
	tokens := i.PromptTokens + i.OutputTokens
	return (tokens + backing.KVBlockTokens - 1) / backing.KVBlockTokens
}

func (i *Item) weight() float64 { return float64(max(1, i.Weight)) }
