// Package engineclient is the HTTP client of one model engine: streams with
// resume and cancel, load and cache reports, KV moves and orders. Its errors
// state whether a request certainly did not run.
package engineclient
