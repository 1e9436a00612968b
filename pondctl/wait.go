package pondctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/internal/wait"
)

// wait polls the status until the version, or a later one, is in force on every live entry. It prints each change of the
// progress.
func (c *command) wait(ctx context.Context, version uint64, longest time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	printed := ""
	for {
		text, done := c.checkInForce(ctx, version)
		if text != printed && ctx.Err() == nil {
			c.logf("%s", text)
			printed = text
		}
		if done {
			return nil
		}
		if !wait.Pause(ctx, statusPollInterval) {
			return eris.Wrapf(ErrNotInForce, "after %s: %s", longest, printed)
		}
	}
}

// checkInForce reports whether the version is in force on every live entry, and describes the progress.
func (c *command) checkInForce(ctx context.Context, version uint64) (text string, done bool) {
	status, err := get[admin.Status](ctx, c.client, admin.StatusPath, nil)
	if err != nil {
		return "no status: " + err.Error(), false
	}
	live := 0
	var lagging []string
	for _, entry := range status.Entries {
		if !entry.Live {
			continue
		}
		live++
		if entry.SettingsVersion < version {
			lagging = append(lagging, formatLag(entry))
		}
	}
	text = fmt.Sprintf("version %d is in force on %d of %d live entries", version, live-len(lagging), live)
	if len(lagging) > 0 {
		text += "; waiting for " + strings.Join(lagging, ", ")
	}
	return text, live > 0 && len(lagging) == 0
}

// formatLag describes an entry on which an older version is in force.
func formatLag(entry admin.EntryStatus) string {
	text := fmt.Sprintf("%s (version %d", entry.Name, entry.SettingsVersion)
	if entry.SettingsSince > 0 {
		text += " since " + formatTime(entry.SettingsSince)
	}
	if entry.Problem != "" {
		text += ": " + entry.Problem
	}
	return text + ")"
}
