package main

import (
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/exit"
)

// certDirMode restricts the directory of the private keys to its owner.
const certDirMode = 0o700

// addCerts adds the certs command.
func addCerts(app *kingpin.Application) {
	command := app.Command("certs", "Make a certificate authority and certificates for trials and tests.")
	dir := command.Flag("dir", "Folder to write to.").Required().String()
	names := command.Arg("process", "Processes as entry/NAME or agent/NAME.").Required().Strings()
	command.Action(func(*kingpin.ParseContext) error { return writeCerts(*dir, *names) })
}

// writeCerts writes a new CA and a certificate for each process to dir.
func writeCerts(dir string, names []string) error {
	authority, err := certs.NewAuthority()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, certDirMode); err != nil {
		return errors.Wrap(err, "create directory")
	}
	for _, name := range names {
		if err := writeCert(authority, dir, name); err != nil {
			return err
		}
	}
	fmt.Printf("wrote %d certificates to %s\n", len(names), dir)
	return nil
}

// writeCert writes the certificate of a process given as ROLE/NAME.
func writeCert(authority *certs.Authority, dir, process string) error {
	role, name, ok := strings.Cut(process, "/")
	if !ok || (role != string(certs.RoleEntry) && role != string(certs.RoleAgent)) {
		return exit.With(exit.Usage, errors.Errorf("%q is neither entry/NAME nor agent/NAME", process))
	}
	pair, err := authority.Issue(certs.Role(role), name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		return err
	}
	_, err = authority.WriteFiles(dir, name, pair)
	return err
}
