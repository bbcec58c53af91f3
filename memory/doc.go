// Package memory keeps an account of the bytes that a process holds for the bodies of
// requests and answers.
package memory
