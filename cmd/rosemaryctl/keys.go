package main

import (
	"bufio"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// folderMode is the mode of the folder with the prompt's history.
const folderMode = 0o700

// roles are the roles for which certificates are issued.
var roles = []string{string(wire.RoleEntry), string(wire.RoleSidecar), string(wire.RoleControl), string(wire.RoleOperator)}

func newKeys() *cobra.Command {
	c := &cobra.Command{
		Use:   "keys",
		Short: "Make the certificates by which processes and operators know each other",
		Long: `Make the certificates by which processes and operators know each other. Every
process and operator has a certificate of one authority, which names its role.
Keep ca.key off the machines that serve.`,
		Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newAuthority(), newIssue(), newRotate())
	return c
}

func newAuthority() *cobra.Command {
	return &cobra.Command{
		Use:   "authority FOLDER",
		Short: "Make a certificate authority: ca.pem and ca.key",
		Long:  `Make a certificate authority in FOLDER. An authority that is there already is kept and the command fails: a new one would lock out every process.`,
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := refuseExisting(args[0], "ca.pem", "ca.key"); err != nil {
				return err
			}
			if _, err := wire.NewAuthority(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "made %s\n", filepath.Join(args[0], "ca.pem"))
			return err
		},
	}
}

func newIssue() *cobra.Command {
	var role string
	c := &cobra.Command{
		Use:   "issue FOLDER NAME --role ROLE",
		Short: "Make a key and certificate for a process or an operator",
		Long: `Make NAME.pem and NAME.key in FOLDER, signed by the authority there. NAME is the
node's name of the process, or the operator's name in the audit listing. Existing
files are kept and the command fails; "keys rotate" replaces them.`,
		Args: exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if err := checkName(args[1]); err != nil {
				return err
			}
			if !slices.Contains(roles, role) {
				return &cli.UsageError{Err: errors.Errorf("--role is one of %s", strings.Join(roles, ", "))}
			}
			if err := refuseExisting(args[0], args[1]+".pem", args[1]+".key"); err != nil {
				return err
			}
			return issue(c, args[0], args[1], wire.Role(role))
		},
	}
	c.Flags().StringVar(&role, "role", "", "what the process may do: "+strings.Join(roles, ", "))
	return c
}

func newRotate() *cobra.Command {
	return &cobra.Command{
		Use:   "rotate FOLDER NAME",
		Short: "Replace the key and certificate of a process or an operator",
		Long: `Replace NAME.pem and NAME.key in FOLDER by new ones of the same role, signed by
the authority there. A running process takes them up within seconds, without a
restart.`,
		Args: exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if err := checkName(args[1]); err != nil {
				return err
			}
			role, err := roleOf(filepath.Join(args[0], args[1]+".pem"))
			if err != nil {
				return err
			}
			return issue(c, args[0], args[1], role)
		},
	}
}

// issue makes the key and certificate of name, replacing existing files.
func issue(c *cobra.Command, folder, name string, role wire.Role) error {
	authority, err := wire.OpenAuthority(folder)
	if err != nil {
		return err
	}
	files, err := authority.Issue(folder, name, role)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "made %s with role %s\n", files.Cert, role)
	return err
}

// checkName refuses a name whose files would be outside the folder, hidden, or those of the
// authority.
func checkName(name string) error {
	if name == "" || name == "ca" || name != filepath.Base(name) || strings.HasPrefix(name, ".") {
		return &cli.UsageError{Err: errors.Errorf("%q cannot be the name of a process", name)}
	}
	return nil
}

// refuseExisting returns an error if one of the files exists in the folder.
func refuseExisting(folder string, names ...string) error {
	for _, name := range names {
		path := filepath.Join(folder, name)
		_, err := os.Lstat(path)
		if err == nil {
			return errors.Errorf("%s is there already and was kept", path)
		}
		if !os.IsNotExist(err) {
			return errors.Wrap(err, "look for keys")
		}
	}
	return nil
}

// roleOf returns the role in a certificate file, which is its first organizational unit.
func roleOf(name string) (wire.Role, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return "", errors.Wrap(err, "read the certificate to replace")
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return "", errors.Errorf("%s holds no certificate", name)
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return "", errors.Wrap(err, "parse the certificate to replace")
	}
	if len(cert.Subject.OrganizationalUnit) == 0 {
		return "", errors.Errorf("%s names no role", name)
	}
	return wire.Role(cert.Subject.OrganizationalUnit[0]), nil
}

func newKey() *cobra.Command {
	c := &cobra.Command{
		Use:   "key",
		Short: "Make and hash the keys of client accounts",
		Args:  exactArgs(0),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newKeyHash())
	return c
}

func newKeyHash() *cobra.Command {
	return &cobra.Command{
		Use:   "hash",
		Short: "Read a key from standard input and print its SHA-256",
		Long: `Read one line, the key of a client account, from standard input and print its
SHA-256 as the configuration holds it in key_hashes. The key is not taken from
the command line, where other users of the machine could read it.`,
		Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			scanner := bufio.NewScanner(c.InOrStdin())
			if !scanner.Scan() || scanner.Text() == "" {
				return &cli.UsageError{Err: errors.New("no key on standard input")}
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), config.HashKey(scanner.Text()))
			return err
		},
	}
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), cli.Version)
			return err
		},
	}
}
