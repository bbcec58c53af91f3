package callgraph

import (
	"bufio"
	"bytes"
	"strings"
)

// lineIndex maps sections and keys to line numbers, which the ini package does
// not keep, so that validation errors can name their line.
type lineIndex struct {
	sections map[string]int
	keys     map[string]int // section + "\x00" + key
}

func indexLines(text []byte) lineIndex {
	ix := lineIndex{sections: map[string]int{}, keys: map[string]int{}}
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

// lineOf returns the line of key, or of its section if the key is absent.
func (ix lineIndex) lineOf(section, key string) int {
	if n, ok := ix.keys[section+"\x00"+key]; ok {
		return n
	}
	return ix.sections[section]
}
