package sidecar

import (
	"testing"
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

// awaitRoutes waits until all nodes have the version, within limit.
func (m *storedMesh) awaitRoutes(v callgraph.Version, limit time.Duration) {
	m.t.Helper()
	var behind []string
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		behind = nil
		for _, vm := range m.vms {
			if r := vm.dir.View().Routes; r == nil || r.Version < v {
				behind = append(behind, vm.ip)
			}
		}
		if len(behind) == 0 {
			return
		}
	}
	m.t.Fatalf("%v do not have version %d %v after it was written", behind, v, limit)
}

// Guards against a restarted node that keeps the configuration of the store's
// backup for good although the operator has written the newer one again.
func TestRestartedNodeGetsVersionWrittenAgain(t *testing.T) {
	m := newStoredMesh(t)
	backup := m.store.Backup()
	m.publish(2)
	m.awaitRoutes(2, changeTimeout)
	former := m.store.Restore(backup)
	restarted := m.follower("archiv")
	restarted.stopNode()
	m.startNode(restarted)
	time.Sleep(2 * time.Second) // its first watch of the store ends, and it does not read again
	m.store.WriteAgain(former)
	m.awaitRoutes(2, changeTimeout)
}
