// Package examples holds the configuration texts of the two deployments
// oatpin serves, Kessler & Raab and the Maracas co-operative, embedded so
// that the demo runs without files.
package examples
