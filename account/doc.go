// Package account knows the client accounts of a deployment: whose API keys
// they hold, how they rank, and what each may send over all nodes together.
package account
