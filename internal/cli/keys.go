package cli

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/secure/keys"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
)

// secretDirMode denies other users access to generated keys.
const secretDirMode = 0o700

// keyKind is a kind of secret that "keys generate" generates.
type keyKind struct {
	name string
	// generate prints a new secret and the setting that contains it.
	generate func(con *console) error
}

var keyKinds = []keyKind{
	{"fleet", func(con *console) error { return printSharedKey(con, "fleet_keys") }},
	{"hint", func(con *console) error { return printSharedKey(con, "hint_keys") }},
	{"api", func(con *console) error { return printSecret(con, access.PrefixAPIKey, "key_hashes of the account") }},
	{"operator", func(con *console) error {
		return printSecret(con, access.PrefixOperator, "admin_token_hash in the settings")
	}},
}

func keysCommand() *command {
	return commandGroup("keys", "Make keys and certificates.", keysGenerateCommand())
}

func keysGenerateCommand() *command {
	var kind, dir string
	var routers, hosts []string
	var validity time.Duration
	c := newCommand("generate", "Make a secret (--kind) or certificates (--dir). Nothing is sent anywhere.", func(_ context.Context, con *console) error {
		if dir != "" {
			return generateCerts(con, dir, keys.GenerateOptions{Routers: routers, Hosts: hosts, Now: time.Now(), Validity: validity})
		}
		return generateSecret(con, kind)
	})
	c.sub.String(&kind, "k", "kind", "fleet: a key between routers. hint: a key for hints and resume tokens. api: a client account's API key. operator: the first operator's token.")
	c.sub.String(&dir, "o", "dir", "The folder for certificates. An authority is made there if there is none; keep its key ca-key.pem away from the VMs.")
	c.sub.StringSlice(&routers, "r", "router", "The name of a router that gets a certificate; may be given several times.")
	c.sub.StringSlice(&hosts, "H", "host", "An IP address or DNS name that callers use; may be given several times.")
	c.sub.Duration(&validity, "v", "validity", "How long the certificates last, such as 720h. Default: 90 days.")
	return c
}

func generateSecret(con *console, kind string) error {
	for _, k := range keyKinds {
		if k.name == kind {
			return k.generate(con)
		}
	}
	return ErrUsage.New("keys generate needs --kind fleet, hint, api or operator, or --dir DIR with --router NAME")
}

func printSharedKey(con *console, field string) error {
	secret := make([]byte, settings.MinKeyBytes)
	if _, err := rand.Read(secret); err != nil {
		return access.ErrRandom.Wrap(err)
	}
	con.note("add it to %s in the settings of every router, as {id: NAME, key: ...}", field)
	_, err := fmt.Fprintln(con.out, base64.StdEncoding.EncodeToString(secret))
	return err
}

func printSecret(con *console, prefix, field string) error {
	secret, err := access.NewSecret(rand.Reader, prefix)
	if err != nil {
		return err
	}
	con.note("the secret, which is kept nowhere, and then its hash for %s:", field)
	_, err = fmt.Fprintf(con.out, "%s\n%s\n", secret, access.HashSecret(secret))
	return err
}

func generateCerts(con *console, dir string, o keys.GenerateOptions) error {
	if len(o.Routers) == 0 {
		return ErrUsage.New("name at least one router with --router NAME")
	}
	if err := os.MkdirAll(dir, secretDirMode); err != nil {
		return err
	}
	if err := keys.Generate(dir, o); err != nil {
		return err
	}
	for _, router := range o.Routers {
		paths := keys.PathsIn(dir, router)
		if _, err := fmt.Fprintf(con.out, "%s: %s %s\n", router, paths.Cert, paths.Key); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(con.out, "authority: %s\n", keys.PathsIn(dir, o.Routers[0]).CA)
	return err
}
