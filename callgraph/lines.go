package callgraph

import (
	"bufio"
	"bytes"
	"strings"
)

// lines maps sections and keys of a text to the line they stand on, so that
// problems found after ini has parsed the text can name their line.
type lines struct {
	sections map[string]int
	keys     map[string]int // section + "\x00" + key
}

func indexLines(text []byte) lines {
	ix := lines{sections: map[string]int{}, keys: map[string]int{}}
	section := ""
	sc := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		switch {
		case strings.HasPrefix(line, "["):
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			ix.sections[section] = n
		case strings.Contains(line, "="):
			key := strings.TrimSpace(line[:strings.Index(line, "=")])
			ix.keys[section+"\x00"+key] = n
		}
	}
	return ix
}

func (ix lines) key(section, key string) int {
	if n, ok := ix.keys[section+"\x00"+key]; ok {
		return n
	}
	return ix.sections[section]
}
