package resource

// KeySpec is a bearer key of a workspace. Only the hash is held.
type KeySpec struct {
	Workspace string `json:"workspace"`
	// SHA256 is the lower-case hex SHA-256 of the key.
	SHA256 string `json:"sha256"`
	// Revoked ends the key's use; a revoked key is never made valid again.
	Revoked bool `json:"revoked,omitempty"`
}
