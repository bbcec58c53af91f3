package filter

import (
	"context"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

type (
	// Call is one request and the operation it invokes.
	Call struct {
		Request *call.Request
		Op      *callgraph.Operation
	}

	// Handler serves one call.
	Handler interface {
		Serve(ctx context.Context, c *Call) call.Answer
	}

	// HandlerFunc adapts a function to a Handler.
	HandlerFunc func(ctx context.Context, c *Call) call.Answer

	// Filter wraps a Handler with additional behavior.
	Filter func(next Handler) Handler
)

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, c *Call) call.Answer { return f(ctx, c) }

// Chain wraps h in filters; the first filter is the outermost.
func Chain(h Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}
