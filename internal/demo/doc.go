// Package demo runs a small deployment in one process: entry hosts, agents,
// stand-ins for the platform, the resources of the lantern festival and a load
// generator. It is the starting point for new users. Package demo also runs
// replays against such a deployment; see Experiment.
package demo
