// Package budget keeps the retry budget of each request in flight at a node,
// so that the retries one request causes over all its hops stay within the
// bound the configuration text sets.
package budget
