// Package node implements the proxy process that runs beside each target VM.
// Inbound calls pass the filter chain to the local target; the target's
// outbound calls are routed to the nodes of other services over msgpack and
// retried within the request's retry budget. Background loops watch the
// configuration service, exchange configurations with other nodes and check peer
// connections.
package node
