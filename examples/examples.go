// Package examples holds the sample settings and resources of two sites.
package examples

import _ "embed"

// FestivalResources is the content of the resources file of the lantern festival.
//
//go:embed festival/resources.hujson
var FestivalResources []byte

// ConsortiumResources is the content of the resources file of the tabletop craft
// consortium.
//
//go:embed consortium/resources.hujson
var ConsortiumResources []byte

// FestivalKeys returns the sample API keys of the festival by workspace. They
// match the keys in the comments of its resources file.
func FestivalKeys() map[string]string {
	return map[string]string{
		"residents":   "key-residents",
		"schools":     "key-schools",
		"parishes":    "key-parishes",
		"design-chat": "key-design-chat",
		"clerks":      "key-clerks",
	}
}

// ConsortiumKeys returns the sample API keys of the consortium by workspace. They
// match the keys in the comments of its resources file.
func ConsortiumKeys() map[string]string {
	return map[string]string{
		"olumo-workshop":  "key-olumo",
		"ake-workshop":    "key-ake",
		"bodija-workshop": "key-bodija",
		"buyers":          "key-buyers",
		"photo-tags":      "key-photo-tags",
	}
}
