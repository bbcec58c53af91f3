// Package node is the one small oatpin process beside each target VM. Calls
// for the local target pass the filter chain; calls the target makes to the
// services it depends on are routed to their nodes over msgpack, retried
// only within the request's budget. Controllers keep the text in force and
// the peer connections up.
package node
