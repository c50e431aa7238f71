package settings

import "path/filepath"

// TLS names the PEM files of the internal connections. They are read again
// when they change. Relative names start at the settings file's directory.
type TLS struct {
	// CA is the file of the authority's certificates.
	CA string `json:"ca" check:"required"`
	// Cert is the file of the process's certificate.
	Cert string `json:"cert" check:"required"`
	// Key is the file of the process's private key.
	Key string `json:"key" check:"required"`
}

// relativeTo makes relative file names start at the settings file's directory.
func (t TLS) relativeTo(settingsFile string) TLS {
	dir := filepath.Dir(settingsFile)
	return TLS{
		CA:   resolve(dir, t.CA),
		Cert: resolve(dir, t.Cert),
		Key:  resolve(dir, t.Key),
	}
}

func resolve(dir, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(dir, name)
}

// Operator is one who may use the operators' address.
type Operator struct {
	// Name stands in the audit log.
	Name string `json:"name" check:"required,name"`
	// TokenSHA256 is the lower-case hex SHA-256 of the bearer token.
	TokenSHA256 string `json:"token_sha256" check:"required,sha256"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// Store is the key-value store.
	Store string `json:"store" check:"required,url"`
	// HostList is the list of live and leaving hosts.
	HostList string `json:"host_list" check:"required,url"`
	// Provider orders endpoints by failure domain.
	Provider string `json:"provider" check:"required,url"`
	// UsageSink takes usage reports.
	UsageSink string `json:"usage_sink" check:"required,url"`
	// Weights is the weight store.
	Weights string `json:"weights" check:"required,url"`
}
