package examples

import (
	_ "embed"
)

var (
	// KesslerRaab configures the services entwurf, freigabe, archiv and versand.
	//go:embed kessler-raab.ini
	KesslerRaab []byte

	// Maracas configures the services cache-pages, trackables, logbook and rankings.
	//go:embed maracas.ini
	Maracas []byte

	// Slowdown configures a chain of three services, the last of which has few
	// slots, for the slowdown experiment.
	//go:embed slowdown.ini
	Slowdown []byte
)
