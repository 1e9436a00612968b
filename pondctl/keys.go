package pondctl

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract/admin"
)

// keyHash is the result of hash-key.
type keyHash struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash"`
}

// hashKey reads the key from standard input, because other users of the machine can see command lines. A new key is
// random, because the hash is kept in version control, where a guessable key could be recovered from it.
func (c *command) hashKey(fresh bool) error {
	result := keyHash{Key: rand.Text()}
	if !fresh {
		line, err := bufio.NewReader(c.In).ReadString('\n')
		if err != nil && err != io.EOF {
			return eris.Wrap(err, "read the key")
		}
		result.Key = strings.TrimSpace(line)
		if result.Key == "" {
			return eris.Wrap(ErrUsage, "give the key on standard input, or --new")
		}
	}
	sum := sha256.Sum256([]byte(result.Key))
	result.Hash = hex.EncodeToString(sum[:])
	if !fresh {
		result.Key = ""
	}
	return c.printResult(result, func(w io.Writer) {
		if fresh {
			fmt.Fprintln(w, result.Key)
		}
		fmt.Fprintln(w, result.Hash)
	})
}

func (c *command) quarantine(ctx context.Context) error {
	answer, err := get[admin.Quarantine](ctx, c.client, admin.QuarantinePath, nil)
	if err != nil {
		return err
	}
	return c.printResult(answer, func(w io.Writer) {
		rows := [][]string{{"SERVICE", "FINGERPRINT", "SINCE", "CRASHES", "REASON"}}
		for _, q := range answer.Requests {
			rows = append(rows, []string{q.Service, q.Fingerprint, formatTime(q.Since), fmt.Sprint(q.Crashes), q.Reason})
		}
		writeTable(w, rows)
	})
}

func (c *command) lift(ctx context.Context, args *LiftArgs) error {
	path := admin.QuarantinePath + "/" + url.PathEscape(args.Service) + "/" + url.PathEscape(args.Fingerprint)
	if err := c.client.call(ctx, http.MethodDelete, path, nil, nil); err != nil {
		return err
	}
	c.logf("%s of %s may run again", args.Fingerprint, args.Service)
	return nil
}
