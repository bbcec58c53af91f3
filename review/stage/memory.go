package stage

import (
	"fmt"
	"os"
	"strings"
)

// ResidentMB returns the resident memory of a process in megabytes, and the
// most it has had; 0 if the process has ended.
func ResidentMB(pid int) (now, peak float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		var kb float64
		switch {
		case strings.HasPrefix(line, "VmRSS:"):
			fmt.Sscanf(line, "VmRSS: %f kB", &kb)
			now = kb / 1024
		case strings.HasPrefix(line, "VmHWM:"):
			fmt.Sscanf(line, "VmHWM: %f kB", &kb)
			peak = kb / 1024
		}
	}
	return now, peak
}
