package settings

import "path/filepath"

// TLS names the PEM files for internal connections. The files are reloaded when
// they change. Relative paths are resolved against the directory of the settings
// file.
type TLS struct {
	// CA is the file with the certificates of the certificate authority.
	CA string `json:"ca" check:"required"`
	// Cert is the file with the certificate of the process.
	Cert string `json:"cert" check:"required"`
	// Key is the file with the private key of the process.
	Key string `json:"key" check:"required"`
}

// resolvePaths resolves relative paths against the directory of the settings
// file.
func (t TLS) resolvePaths(settingsFile string) TLS {
	dir := filepath.Dir(settingsFile)
	return TLS{
		CA:   resolvePath(dir, t.CA),
		Cert: resolvePath(dir, t.Cert),
		Key:  resolvePath(dir, t.Key),
	}
}

func resolvePath(dir, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(dir, name)
}

// Operator is a person or program that may use the operator address.
type Operator struct {
	// Name identifies the operator in the audit log.
	Name string `json:"name" check:"required,name"`
	// TokenSHA256 is the lower-case hex SHA-256 of the bearer token.
	TokenSHA256 string `json:"token_sha256" check:"required,sha256"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// Store is the base URL of the key-value store.
	Store string `json:"store" check:"required,url"`
	// HostList is the base URL of the list of live and leaving hosts.
	HostList string `json:"host_list" check:"required,url"`
	// Provider is the base URL of the service that provides endpoints per failure domain.
	Provider string `json:"provider" check:"required,url"`
	// UsageSink is the base URL of the service that receives usage reports.
	UsageSink string `json:"usage_sink" check:"required,url"`
	// Weights is the base URL of the model weight store.
	Weights string `json:"weights" check:"required,url"`
}
