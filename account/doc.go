// Package account manages client accounts: API key lookup, request priorities
// and rate limits that are enforced across all nodes of a deployment.
package account
