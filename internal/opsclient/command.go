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

// Apply creates or updates the resources of a file in one atomic change. The
// file "-" is the standard input. Secrets of new keys are printed and cannot be
// retrieved later.
func Apply(ctx context.Context, o Options, file string, out io.Writer) error {
	list, err := readFile(file)
	if err != nil {
		return err
	}
	return ApplyResources(ctx, o, list, out)
}

// ApplyResources is like Apply for resources that are already decoded.
func ApplyResources(ctx context.Context, o Options, list []resource.Resource, out io.Writer) error {
	var response opsapi.ChangeResponse
	if err := o.call(ctx, http.MethodPost, "/v1/apply", list, &response); err != nil {
		return err
	}
	return o.reportChange(ctx, response, out)
}

// Delete deletes a resource; a key is revoked instead. If revision is above
// zero, it must be the current revision of the resource.
func Delete(ctx context.Context, o Options, kind, name string, revision int64, out io.Writer) error {
	path := resourcePath(kind, name)
	if revision > 0 {
		path += fmt.Sprintf("?revision=%d", revision)
	}
	var response opsapi.ChangeResponse
	if err := o.call(ctx, http.MethodDelete, path, nil, &response); err != nil {
		return err
	}
	return o.reportChange(ctx, response, out)
}

// Get prints one resource, or all resources of the kind if name is empty.
func Get(ctx context.Context, o Options, kind, name string, out io.Writer) error {
	if name != "" {
		var r resource.Resource
		if err := o.call(ctx, http.MethodGet, resourcePath(kind, name), nil, &r); err != nil {
			return err
		}
		return o.printResources(out, []resource.Resource{r}, r)
	}
	var all opsapi.ListResponse
	after := ""
	for {
		var page opsapi.ListResponse
		path := "/v1/resources/" + url.PathEscape(kind) + "?after=" + url.QueryEscape(after)
		if err := o.call(ctx, http.MethodGet, path, nil, &page); err != nil {
			return err
		}
		all.Revision = page.Revision
		all.Items = append(all.Items, page.Items...)
		if page.Next == "" {
			return o.printResources(out, all.Items, all)
		}
		after = page.Next
	}
}

func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// reportChange prints the result of a change and, if Options.Wait is positive,
// waits until the change is in force.
func (o Options) reportChange(ctx context.Context, response opsapi.ChangeResponse, out io.Writer) error {
	if err := o.printChange(out, response); err != nil {
		return err
	}
	if o.Wait <= 0 {
		return nil
	}
	return o.waitInForce(ctx, response.Revision)
}

// waitInForce polls the rollout state of the revision until it is in force or
// Options.Wait has elapsed. It retries while no host is reachable.
func (o Options) waitInForce(ctx context.Context, revision resource.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	var last opsapi.RevisionResponse
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
			return errorfWithCode(exit.TimedOut, "revision %d is stored, but was not in force within %s; accepted: %t, waiting for %v",
				revision, o.Wait, last.Accepted, last.Waiting)
		case <-time.After(pollInterval):
		}
	}
}
