package main

import (
	"os"
	"os/exec"
	"path/filepath"
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
