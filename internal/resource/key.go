package resource

// KeySpec describes a bearer key of a workspace. Only its hash is stored.
type KeySpec struct {
	Workspace string `json:"workspace"`
	// SHA256 is the lower-case hex SHA-256 of the key.
	SHA256 string `json:"sha256"`
	// Revoked makes the key invalid. A revoked key never becomes valid again.
	Revoked bool `json:"revoked,omitempty"`
}
