package filter

import (
	"context"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

type (
	// Call is one request with the operation it names, as the chain sees it.
	Call struct {
		Request *call.Request
		Op      *callgraph.Operation
	}

	// Handler serves one call.
	Handler interface {
		Serve(ctx context.Context, c *Call) call.Answer
	}

	// HandlerFunc lets a function be a Handler.
	HandlerFunc func(ctx context.Context, c *Call) call.Answer

	// Filter wraps a Handler in one concern.
	Filter func(next Handler) Handler
)

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, c *Call) call.Answer { return f(ctx, c) }

// Chain wraps h in filters; the first filter sees a call first.
func Chain(h Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}
