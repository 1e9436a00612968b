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

// wait looks at the status until every live entry works by the version or a later one.
func (c *command) wait(ctx context.Context, version uint64, longest time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	told := ""
	for {
		text, done := c.checkInForce(ctx, version)
		if text != told && ctx.Err() == nil {
			c.logf("%s", text)
			told = text
		}
		if done {
			return nil
		}
		if !wait.Pause(ctx, pollPause) {
			return eris.Wrapf(ErrNotInForce, "after %s: %s", longest, told)
		}
	}
}

// checkInForce says in words how far the version has come.
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

// formatLag names an entry that works by an older version.
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
