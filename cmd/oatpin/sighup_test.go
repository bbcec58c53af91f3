package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a process that ends because its settings change while it reads
// them for the first time.
func TestSIGHUPDuringStartDoesNotEndTheProcess(t *testing.T) {
	cl := newCluster(t)
	Convey("The process waits for the rest of its settings", t, func() {
		path := filepath.Join(cl.dir, "settings.ini")
		So(syscall.Mkfifo(path, 0o600), ShouldBeNil)
		cmd := exec.Command(cl.bin, "sidecar", "--settings", path)
		So(cmd.Start(), ShouldBeNil)
		cl.procs["sidecar"] = cmd
		// Opening the pipe succeeds once the process opens it to read.
		f, err := os.OpenFile(path, os.O_WRONLY, 0)
		So(err, ShouldBeNil)
		defer f.Close()
		So(cmd.Process.Signal(syscall.SIGHUP), ShouldBeNil)
		exited := make(chan error, 1)
		go func() { exited <- cmd.Wait() }()
		ended := false
		select {
		case <-exited:
			ended = true
		case <-time.After(500 * time.Millisecond):
		}
		So(ended, ShouldBeFalse)
	})
}

// Guards against settings of which a part was read before a change of the file and a
// part after it, and against changed policies that a reload does not mention.
func TestSettingsAndPoliciesAreReadTogether(t *testing.T) {
	cl := newCluster(t)
	path := filepath.Join(cl.dir, "settings.ini")
	text := "[sidecar]\nname=a\ndc=d\nservice=s\nstore=127.0.0.1:9\n"
	ports := freePorts(t, 5)
	for i, key := range []string{"target", "callers", "peer", "ready", "metrics"} {
		text += fmt.Sprintf("%s=127.0.0.1:%d\n", key, ports[i])
	}
	Convey("One read at start and one on each SIGHUP has both sections", t, func() {
		So(syscall.Mkfifo(path, 0o600), ShouldBeNil)
		cmd := exec.Command(cl.bin, "sidecar", "--settings", path)
		out, err := cmd.StdoutPipe()
		So(err, ShouldBeNil)
		So(cmd.Start(), ShouldBeNil)
		cl.procs["sidecar"] = cmd
		lines := make(chan string, 100)
		go func() {
			for s := bufio.NewScanner(out); s.Scan(); {
				lines <- s.Text()
			}
		}()
		// A second read of the pipe would wait for another writer.
		So(os.WriteFile(path, []byte(text+"[policies]\nreaders = false\n"), 0), ShouldBeNil)
		So(awaitLine(lines, "node_started"), ShouldNotBeEmpty)
		for policies, want := range map[string]string{
			"[policies]\nreaders = true\n": `"needs_restart":true`,
			"[policies]\nreader = true\n":  "settings_refused",
		} {
			So(cmd.Process.Signal(syscall.SIGHUP), ShouldBeNil)
			So(os.WriteFile(path, []byte(text+policies), 0), ShouldBeNil)
			So(awaitLine(lines, "settings_"), ShouldContainSubstring, want)
		}
	})
}

// awaitLine returns the first line that contains a text; empty if none comes in time.
func awaitLine(lines <-chan string, text string) string {
	timeout := time.After(10 * time.Second)
	for {
		select {
		case l := <-lines:
			if strings.Contains(l, text) {
				return l
			}
		case <-timeout:
			return ""
		}
	}
}
