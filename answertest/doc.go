// Package answertest runs servers for tests that answer with any bytes.
package answertest
