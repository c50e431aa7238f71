package role

import "github.com/acacialink/acacialink/internal/backing"

// split is the number of engines per role. A mixed engine counts half for each.
type split struct {
	prefill, decode float64
}

func splitOf(engines []Engine) split {
	var s split
	for _, e := range engines {
		s = s.with(e.Role, 1)
	}
	return s
}

// with returns the split with n more engines of the role.
func (s split) with(role backing.Role, n float64) split {
	switch role {
	case backing.RolePrefill:
		s.prefill += n
	case backing.RoleDecode:
		s.decode += n
	case backing.RoleMixed:
		s.prefill += n / 2
		s.decode += n / 2
	}
	return s
}

// utilisation returns the higher of the two roles' ratios of demand to capacity.
func (s split) utilisation(d Demand, c Capacity) float64 {
	return max(ratio(d.Prefill, s.prefill*c.PrefillTokens), ratio(d.Decode, s.decode*c.DecodeTokens))
}

// unserved is the utilisation of a role that has demand but no engine.
const unserved = 100

func ratio(demand, capacity float64) float64 {
	if demand <= 0 {
		return 0
	}
	if capacity <= 0 {
		return unserved
	}
	return demand / capacity
}

// option is a possible change of one engine and its effect.
type option struct {
	change Change
	// before, during and after are the utilisations at the stages of the change.
	before, during, after float64
}

// gain returns the lasting reduction of the utilisation.
func (o option) gain() float64 { return o.before - o.after }

// worthwhile reports whether the gain over the horizon exceeds the cost of being
// without the engine during the change.
func (o option) worthwhile(s Settings) bool {
	if o.before < s.MinUtilisation || o.gain() <= s.MinGain {
		return false
	}
	cost := max(0, o.during-o.before) * s.ChangeTime.Seconds()
	return o.gain()*s.Horizon.Seconds() > cost
}

// best returns the permitted change with the lowest utilisation afterwards.
func best(engines []Engine, d Demand, c Capacity, floor int) (option, bool) {
	now := splitOf(engines)
	var chosen option
	found := false
	for _, from := range []backing.Role{backing.RolePrefill, backing.RoleDecode, backing.RoleMixed} {
		engine, ok := leastLoaded(engines, from)
		if !ok {
			continue
		}
		for _, to := range []backing.Role{backing.RolePrefill, backing.RoleDecode} {
			next := now.with(from, -1).with(to, 1)
			if to == from || next.prefill < float64(floor) || next.decode < float64(floor) {
				continue
			}
			o := option{
				change: Change{Engine: engine.Name, Role: to},
				before: now.utilisation(d, c),
				during: now.with(from, -1).utilisation(d, c),
				after:  next.utilisation(d, c),
			}
			if !found || o.after < chosen.after {
				chosen, found = o, true
			}
		}
	}
	return chosen, found
}

// leastLoaded returns the engine of the role with the fewest running and queued
// generations.
func leastLoaded(engines []Engine, role backing.Role) (Engine, bool) {
	var chosen Engine
	found := false
	for _, e := range engines {
		if e.Role != role {
			continue
		}
		if !found || e.Running+e.Waiting < chosen.Running+chosen.Waiting {
			chosen, found = e, true
		}
	}
	return chosen, found
}
