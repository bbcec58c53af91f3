package memory

const (
	// headLine is what a header line takes besides its text, in bytes: in the map of a
	// request, in the list that is passed on, and in the map of the request to the
	// target.
	headLine = 256
	// headText is how often the text of a head is held.
	headText = 2
	// OrdinaryHead is the cost in bytes up to which a head is an ordinary one.
	OrdinaryHead = 16 << 10
)

// HeadCost returns the memory in bytes that a head of some lines takes; text is their
// size in bytes.
func HeadCost(text, lines int) int64 { return int64(text*headText + lines*headLine) }
