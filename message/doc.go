// Package message decodes messages between nodes of different versions, whose
// messages may have more or fewer fields.
package message
