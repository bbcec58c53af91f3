// Package examples embeds example configurations in INI format: the deployments
// of Kessler & Raab and of the Maracas co-operative, and a call chain for the
// slowdown experiment.
package examples
