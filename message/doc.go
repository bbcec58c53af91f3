// Package message reads what nodes send each other across versions of the
// program: a newer one may know more fields of a message, an older one fewer.
package message
