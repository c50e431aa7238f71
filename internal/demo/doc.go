// Package demo runs a small deployment in one process: entry hosts, agents,
// the stand-ins of the platform, the resources of the lantern festival and a
// running load. It is what a newcomer starts first.
package demo
