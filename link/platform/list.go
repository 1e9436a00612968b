package platform

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/wait"
)

const (
	// pageAttempts is how often a page is requested before the list is given up.
	pageAttempts = 3
	// pageRetryPause is the pause after a page that the platform did not return.
	pageRetryPause = 100 * time.Millisecond
	// catchUpWait limits the watch that completes a list. It returns at once if there were changes.
	catchUpWait = time.Millisecond
	// maxListBytes bounds a list, whose pages may have no end. It exceeds the largest list of a deployment by far.
	maxListBytes = 32 << 20
	// objectBytes is what an object takes beside its name and value.
	objectBytes = 256
)

// List implements Store. The first page is read at the platform's current revision. The other pages may be older, since reads that
// may be stale are not subject to the platform's rate limit: when hundreds of entries start at once, their lists have tens of
// thousands of pages. Changes that such a page lacks are then read by a watch, so that the result is complete up to its revision;
// a watch from there reports again the changes made while later pages were read.
func (c *Client) List(ctx context.Context, kind Kind) (Changes, error) {
	listed, err := c.list(ctx, kind)
	if err == nil {
		c.unreadables.listed(kind)
	}
	return listed, err
}

func (c *Client) list(ctx context.Context, kind Kind) (Changes, error) {
	call := Call{Verb: VerbList, Kind: kind}
	page, err := c.doPage(ctx, call)
	if err != nil {
		return Changes{}, err
	}
	listed := page.Changes
	oldest := listed.Revision
	call.Stale = true
	bytes := sizeOf(page.Objects)
	for page.Next != "" {
		if page, err = c.nextPage(ctx, &call, page, &bytes); err != nil {
			return Changes{}, err
		}
		listed.Objects = append(listed.Objects, page.Objects...)
		oldest = min(oldest, page.Revision)
	}
	if oldest == listed.Revision {
		return listed, nil
	}
	return c.catchUp(ctx, kind, listed, oldest)
}

// nextPage requests the page that follows one of a list. bytes is the size of the pages so far, to which it adds that of the page.
func (c *Client) nextPage(ctx context.Context, call *Call, after Page, bytes *int) (Page, error) {
	call.After = after.Next
	page, err := c.retryPage(ctx, *call)
	if err != nil {
		return page, err
	}
	if *bytes += sizeOf(page.Objects); *bytes > maxListBytes {
		return page, incompleteError(*call, eris.Errorf("a list of over %d bytes", maxListBytes))
	}
	return page, nil
}

// sizeOf returns about how much memory objects take, in bytes.
func sizeOf(objects []Object) int {
	bytes := 0
	for _, object := range objects {
		bytes += objectBytes + len(object.Name) + len(object.Value)
	}
	return bytes
}

// retryPage requests a page until the platform returns it. Otherwise a list of many pages would start again after each lost answer.
func (c *Client) retryPage(ctx context.Context, call Call) (page Page, err error) {
	for attempt := range pageAttempts {
		if attempt > 0 && !wait.Pause(ctx, pageRetryPause) {
			return page, err
		}
		if page, err = c.doPage(ctx, call); err == nil {
			return page, nil
		}
	}
	return page, err
}

// catchUp applies the changes since the oldest page to a list.
func (c *Client) catchUp(ctx context.Context, kind Kind, listed Changes, oldest Version) (Changes, error) {
	missed, err := c.doPage(ctx, Call{Verb: VerbWatch, Kind: kind, Version: oldest, Wait: catchUpWait})
	nameless := err == nil && missed.Nameless != nil
	if nameless || eris.Is(err, errCompacted) || eris.Is(err, ErrIncomplete) {
		return c.listCurrent(ctx, kind)
	}
	if err != nil {
		return Changes{}, err
	}
	return merge(listed, missed.Changes), nil
}

// listCurrent lists a kind without stale pages. The result is complete up to the revision of the first page.
func (c *Client) listCurrent(ctx context.Context, kind Kind) (Changes, error) {
	call := Call{Verb: VerbList, Kind: kind}
	page, err := c.retryPage(ctx, call)
	listed, bytes := page.Changes, sizeOf(page.Objects)
	for err == nil && page.Next != "" {
		page, err = c.nextPage(ctx, &call, page, &bytes)
		listed.Objects = append(listed.Objects, page.Objects...)
	}
	return listed, err
}

// merge returns the objects of a list after changes that are complete up to their own revision.
func merge(listed, changes Changes) Changes {
	latest := make(map[string]Object, len(listed.Objects))
	names := make([]string, 0, len(listed.Objects))
	for _, objects := range [][]Object{listed.Objects, changes.Objects} {
		for _, object := range objects {
			known, ok := latest[object.Name]
			if !ok {
				names = append(names, object.Name)
			}
			if !ok || known.Version <= object.Version {
				latest[object.Name] = object
			}
		}
	}
	merged := Changes{Revision: changes.Revision, Complete: true}
	for _, name := range names {
		if !latest[name].Deleted {
			merged.Objects = append(merged.Objects, latest[name])
		}
	}
	return merged
}
