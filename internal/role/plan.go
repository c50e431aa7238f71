package role

import "github.com/acacialink/acacialink/internal/backing"

// split is how many engines serve each role. A mixed engine counts half.
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

// with adds n engines of the role.
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

// utilisation is the larger of the two roles' demand over their capacity.
func (s split) utilisation(d Demand, c Capacity) float64 {
	return max(over(d.Prefill, s.prefill*c.PrefillTokens), over(d.Decode, s.decode*c.DecodeTokens))
}

// unserved is the utilisation of a role that has demand and no engine.
const unserved = 100

func over(demand, capacity float64) float64 {
	if demand <= 0 {
		return 0
	}
	if capacity <= 0 {
		return unserved
	}
	return demand / capacity
}

// option is a change of one engine with what it would do.
type option struct {
	change Change
	// before, during and after are the utilisations around the change.
	before, during, after float64
}

// gain is the utilisation that the change takes away for good.
func (o option) gain() float64 { return o.before - o.after }

// pays says whether the gain over the horizon is worth the time without the engine.
func (o option) pays(s Settings) bool {
	if o.before < s.BusyAt || o.gain() <= s.MinGain {
		return false
	}
	cost := max(0, o.during-o.before) * s.ChangeTime.Seconds()
	return o.gain()*s.Horizon.Seconds() > cost
}

// best returns the change that leaves the lowest utilisation.
func best(engines []Engine, d Demand, c Capacity, floor int) (option, bool) {
	now := splitOf(engines)
	var chosen option
	found := false
	for _, from := range []backing.Role{backing.RolePrefill, backing.RoleDecode, backing.RoleMixed} {
		engine, ok := idlest(engines, from)
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

// idlest returns the engine of the role with the least work.
func idlest(engines []Engine, role backing.Role) (Engine, bool) {
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
