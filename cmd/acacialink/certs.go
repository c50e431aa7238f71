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

// certFolderMode lets only the owner look into the folder of private keys.
const certFolderMode = 0o700

func addCerts(app *kingpin.Application) {
	command := app.Command("certs", "Make a certificate authority and certificates for trials and tests.")
	dir := command.Flag("dir", "Folder to write to.").Required().String()
	names := command.Arg("process", "Processes as entry/NAME or agent/NAME.").Required().Strings()
	command.Action(func(*kingpin.ParseContext) error { return writeCerts(*dir, *names) })
}

func writeCerts(dir string, names []string) error {
	authority, err := certs.NewAuthority()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, certFolderMode); err != nil {
		return errors.Wrap(err, "make folder")
	}
	for _, one := range names {
		if err := writeCert(authority, dir, one); err != nil {
			return err
		}
	}
	fmt.Printf("wrote %d certificates to %s\n", len(names), dir)
	return nil
}

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
