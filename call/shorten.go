package call

import "strings"

// maxErrorBytes bounds the text of an error about what another program sent.
const maxErrorBytes = 300

// Shorten bounds the text of an error for a log line or the reason of an answer: it may
// quote whatever another program has sent.
func Shorten(text string) string {
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
}
