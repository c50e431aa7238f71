package queue

import "github.com/acacialink/acacialink/internal/backing"

// Item is a request that asks for admission.
type Item struct {
	Workspace string
	Class     Class
	// Weight is the workspace's share under contention; less than 1 means 1.
	Weight int
	// PromptTokens is the length of the prompt, OutputTokens the most that
	// the answer may have.
	PromptTokens int64
	OutputTokens int64
	// CachedTokens is the part of the prompt that an engine's cache is
	// predicted to serve; it is not counted as prefill work.
	CachedTokens int64
}

// outputCost is what an output token costs in prompt tokens, for shares.
const outputCost = 2

// cost is the item's work for shares between workspaces and lanes.
func (i *Item) cost() int64 { return i.PromptTokens + outputCost*i.OutputTokens }

// prefill is the prompt work that the item is expected to bring.
func (i *Item) prefill() int64 { return max(0, i.PromptTokens-i.CachedTokens) }

func (i *Item) pieces() int64 {
	tokens := i.PromptTokens + i.OutputTokens
	return (tokens + backing.PieceTokens - 1) / backing.PieceTokens
}

func (i *Item) weight() float64 { return float64(max(1, i.Weight)) }
