// Package answer reads answers (HTTP responses) more strictly than the library, which
// takes some that are broken for whole ones.
package answer
