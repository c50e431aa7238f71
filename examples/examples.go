// Package examples holds the sample settings and resources of two sites.
package examples

import _ "embed"

// FestivalResources is the resources file of the lantern festival.
//
//go:embed festival/resources.hujson
var FestivalResources []byte

// ConsortiumResources is the resources file of the tabletop craft consortium.
//
//go:embed consortium/resources.hujson
var ConsortiumResources []byte

// FestivalKeys are the sample keys of the festival by workspace, the same as
// the comments of its resources file name.
func FestivalKeys() map[string]string {
	return map[string]string{
		"residents":   "key-residents",
		"schools":     "key-schools",
		"parishes":    "key-parishes",
		"design-chat": "key-design-chat",
		"clerks":      "key-clerks",
	}
}

// ConsortiumKeys are the sample keys of the consortium by workspace.
func ConsortiumKeys() map[string]string {
	return map[string]string{
		"olumo-workshop":  "key-olumo",
		"ake-workshop":    "key-ake",
		"bodija-workshop": "key-bodija",
		"buyers":          "key-buyers",
		"photo-tags":      "key-photo-tags",
	}
}
