package opsapi

import (
	"encoding/json"

	"github.com/acacialink/acacialink/internal/resource"
)

// prepareKey sets the hash of a key that was sent without one. An existing key
// retains its hash; a new key gets the hash of the generated secret, which is then
// returned. Resources of other kinds are not changed.
func (p *planner) prepareKey(r *resource.Resource, generated string, old resource.Resource, exists bool) (secret string, faults resource.Faults) {
	if r.Kind != resource.KindKey {
		return "", nil
	}
	spec, err := keySpec(*r)
	if err != nil {
		return "", nil //nolint:nilerr // Normalize reports the faults.
	}
	if exists {
		faults = p.checkKeyUpdate(&spec, old)
	} else if spec.SHA256 == "" {
		secret = generated
		spec.SHA256 = hashSecret(secret)
	}
	if owner, found := p.hashOwner(spec.SHA256); found && owner != r.Name {
		faults = append(faults, resource.Fault{Path: "spec.sha256", Message: "is the hash of another key"})
	}
	p.hashes[spec.SHA256] = r.Name
	if len(faults) > 0 {
		return "", faults
	}
	return secret, setHash(r, spec.SHA256)
}

// checkKeyUpdate rejects an update that changes the hash or workspace of a key or
// undoes its revocation. A hash that is not set is copied from the old key.
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

// hashOwner returns the name of the key with a hash, in the planned change or in
// the current configuration.
func (p *planner) hashOwner(hash string) (string, bool) {
	if name, ok := p.hashes[hash]; ok {
		return name, true
	}
	return p.view.KeyName(hash)
}

// setHash sets the hash in the spec and retains all other fields as sent, so
// that Normalize can reject unknown ones.
func setHash(r *resource.Resource, hash string) resource.Faults {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Spec, &fields); err != nil {
		return nil //nolint:nilerr // Normalize reports the fault.
	}
	fields["sha256"], _ = json.Marshal(hash) // Encoding a string cannot fail.
	text, err := json.Marshal(fields)
	if err != nil {
		return resource.Faults{{Path: "spec", Message: err.Error()}}
	}
	r.Spec = text
	return nil
}
