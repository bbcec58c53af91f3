// Package budget limits retries: Ledger tracks the retry budget of each
// request in flight at a node, so that the retries caused by one request
// over all of its hops stay within the configured limit, and RetryWindow
// limits the share of retries in the requests to a service.
package budget
