package opsapi

import (
	"encoding/json"

	"github.com/acacialink/acacialink/internal/resource"
)

// prepareKey fills in the hash of a key without one: an existing key keeps its
// own, and a new one gets a new secret, which is returned. Other kinds pass
// unchanged.
func (p *planner) prepareKey(r *resource.Resource, fresh string, old resource.Resource, exists bool) (secret string, faults resource.Faults) {
	if r.Kind != resource.KindKey {
		return "", nil
	}
	spec, err := keySpec(*r)
	if err != nil {
		return "", nil //nolint:nilerr // Normalize names the faults.
	}
	if exists {
		faults = p.checkKeyUpdate(&spec, old)
	} else if spec.SHA256 == "" {
		secret = fresh
		spec.SHA256 = hashSecret(secret)
	}
	if owner, taken := p.hashOwner(spec.SHA256); taken && owner != r.Name {
		faults = append(faults, resource.Fault{Path: "spec.sha256", Message: "is the hash of another key"})
	}
	p.hashes[spec.SHA256] = r.Name
	if len(faults) > 0 {
		return "", faults
	}
	return secret, setHash(r, spec.SHA256)
}

// checkKeyUpdate keeps a key's hash, workspace and revocation.
func (p *planner) checkKeyUpdate(spec *resource.KeySpec, old resource.Resource) resource.Faults {
	before, err := keySpec(old)
	if err != nil {
		return resource.Faults{{Path: "spec", Message: err.Error()}}
	}
	if spec.SHA256 == "" {
		spec.SHA256 = before.SHA256
	}
	var faults resource.Faults
	if spec.SHA256 != before.SHA256 {
		faults = append(faults, resource.Fault{Path: "spec.sha256", Message: "cannot change; create another key"})
	}
	if spec.Workspace != before.Workspace {
		faults = append(faults, resource.Fault{Path: "spec.workspace", Message: "cannot change; create another key"})
	}
	if before.Revoked && !spec.Revoked {
		faults = append(faults, resource.Fault{Path: "spec.revoked", Message: "a revoked key cannot be made valid again"})
	}
	return faults
}

func (p *planner) hashOwner(hash string) (string, bool) {
	if name, ok := p.hashes[hash]; ok {
		return name, true
	}
	return p.view.KeyName(hash)
}

// setHash writes the hash into the spec and leaves its other fields as they
// were sent, so that Normalize sees unknown ones.
func setHash(r *resource.Resource, hash string) resource.Faults {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Spec, &fields); err != nil {
		return nil //nolint:nilerr // Normalize names the fault.
	}
	fields["sha256"], _ = json.Marshal(hash) // A string always encodes.
	text, err := json.Marshal(fields)
	if err != nil {
		return resource.Faults{{Path: "spec", Message: err.Error()}}
	}
	r.Spec = text
	return nil
}
