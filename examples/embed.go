package examples

import (
	_ "embed"
)

var (
	// KesslerRaab is the call graph of entwurf, freigabe, archiv and versand.
	//go:embed kessler-raab.ini
	KesslerRaab []byte

	// Maracas is the call graph of cache-pages, trackables, logbook and rankings.
	//go:embed maracas.ini
	Maracas []byte

	// Slowdown is a three-service chain whose deepest service has few
	// slots, for the slowdown experiment.
	//go:embed slowdown.ini
	Slowdown []byte
)
