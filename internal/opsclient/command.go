package opsclient

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/opsapi"
	"github.com/acacialink/acacialink/internal/resource"
)

const watchPath = "/v1/watch"

// Apply creates or updates all resources of a file as one change, or none.
// Secrets of new keys are printed this once.
func Apply(ctx context.Context, o Options, file string, out io.Writer) error {
	list, err := readFile(file)
	if err != nil {
		return err
	}
	return ApplyResources(ctx, o, list, out)
}

// ApplyResources is Apply for resources that are not in a file.
func ApplyResources(ctx context.Context, o Options, list []resource.Resource, out io.Writer) error {
	var answer opsapi.ChangeAnswer
	if err := o.call(ctx, http.MethodPost, "/v1/apply", list, &answer); err != nil {
		return err
	}
	return o.finish(ctx, answer, out)
}

// Delete removes a resource; a key is revoked. A revision above zero must be
// the resource's current one.
func Delete(ctx context.Context, o Options, kind, name string, revision int64, out io.Writer) error {
	path := resourcePath(kind, name)
	if revision > 0 {
		path += fmt.Sprintf("?revision=%d", revision)
	}
	var answer opsapi.ChangeAnswer
	if err := o.call(ctx, http.MethodDelete, path, nil, &answer); err != nil {
		return err
	}
	return o.finish(ctx, answer, out)
}

// Get prints one resource, or all of a kind when name is empty.
func Get(ctx context.Context, o Options, kind, name string, out io.Writer) error {
	if name != "" {
		var r resource.Resource
		if err := o.call(ctx, http.MethodGet, resourcePath(kind, name), nil, &r); err != nil {
			return err
		}
		return o.printResources(out, []resource.Resource{r}, r)
	}
	var all opsapi.ListAnswer
	after := ""
	for {
		var part opsapi.ListAnswer
		path := "/v1/resources/" + url.PathEscape(kind) + "?after=" + url.QueryEscape(after)
		if err := o.call(ctx, http.MethodGet, path, nil, &part); err != nil {
			return err
		}
		all.Revision = part.Revision
		all.Items = append(all.Items, part.Items...)
		if part.Next == "" {
			return o.printResources(out, all.Items, all)
		}
		after = part.Next
	}
}

func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// finish prints what a change did, and waits until it is in force if asked to.
func (o Options) finish(ctx context.Context, answer opsapi.ChangeAnswer, out io.Writer) error {
	if err := o.printChange(out, answer); err != nil {
		return err
	}
	if o.Wait <= 0 {
		return nil
	}
	return o.waitInForce(ctx, answer.Revision)
}

// waitInForce asks for the revision's spread until it is in force.
func (o Options) waitInForce(ctx context.Context, revision resource.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	var last opsapi.RevisionAnswer
	for {
		err := o.call(ctx, http.MethodGet, fmt.Sprintf("/v1/revisions/%d", revision), nil, &last)
		if err == nil && last.InForce {
			return nil
		}
		if code := exit.CodeOf(err); err != nil && code != exit.Unreachable {
			return err
		}
		select {
		case <-ctx.Done():
			return failf(exit.TimedOut, "revision %d is stored, but was not in force within %s; accepted: %t, waiting for %v",
				revision, o.Wait, last.Accepted, last.Waiting)
		case <-time.After(waitInterval):
		}
	}
}
