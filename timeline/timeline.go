package timeline

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sort"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/rotisserie/eris"
)

type (
	// Event is one line of a timeline, as written by the JSON handler.
	Event struct {
		Fields    map[string]any `json:"fields"`
		Level     string         `json:"level"`
		Timestamp time.Time      `json:"timestamp"`
		Message   string         `json:"message"`
	}
)

// Open returns a logger that appends JSON lines with the process name to the
// file at path, or writes them to standard error if path is empty. The caller
// must close the Closer.
func Open(path, process string) (log.Interface, io.Closer, error) {
	var w io.WriteCloser = nopCloser{os.Stderr}
	if path != "" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return nil, nil, eris.Wrapf(err, "open timeline %s", path)
		}
		w = f
	}
	l := &log.Logger{Handler: jsonlog.New(w), Level: log.InfoLevel}
	return l.WithField("process", process), w, nil
}

// Merge reads the timeline files in paths and writes their events to w as JSON
// lines in order of time. The sort is stable.
func Merge(w io.Writer, paths ...string) error {
	var events []Event
	for _, p := range paths {
		evs, err := readFile(p)
		if err != nil {
			return err
		}
		events = append(events, evs...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].Timestamp.Before(events[j].Timestamp) })
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

func readFile(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrapf(err, "open timeline %s", path)
	}
	defer f.Close()
	var events []Event
	sc := bufio.NewScanner(f)
	for n := 1; sc.Scan(); n++ {
		var e Event
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			return nil, eris.Wrapf(err, "%s line %d", path, n)
		}
		events = append(events, e)
	}
	return events, sc.Err()
}

type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }
