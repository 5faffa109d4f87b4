package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/platform/platformtest"
)

// TestFrozenProcessObeysAnEvacuation guards against a process that was stopped while a data centre was
// evacuated, goes on, and sends to it before it has read the evacuation: the feed that it waited at has
// lost its history, and the store is slow.
func TestFrozenProcessObeysAnEvacuation(t *testing.T) {
	rig := platformtest.NewRig(t, 4, 0)
	rig.EvacuationMs = 5000
	for _, u := range rig.Engines[2:] {
		u.DataCentre = "z2"
		u.OnRestart()
	}
	p := startHosted(t, rig, os.Args[0])
	if reply := p.ask(t, "before"); reply.Status != 200 {
		t.Fatalf("status %d", reply.Status)
	}
	time.Sleep(time.Second) // it waits for changes
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	frozen := time.Now()
	rig.Store.Put("op", "evacuate/z1", []byte("{}"))
	rig.Store.DropHistory()
	rig.Store.SetFault(platformtest.Healthy, 300*time.Millisecond)
	const requests = 30
	var wait sync.WaitGroup
	served := make(chan bool, requests)
	for i := range requests {
		wait.Go(func() { served <- p.ask(t, fmt.Sprint("held-", i)).Status == 200 })
	}
	time.Sleep(3 * time.Second)
	if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	wait.Wait()
	close(served)
	n := 0
	for ok := range served {
		if ok {
			n++
		}
	}
	late := 0
	for _, u := range rig.Engines[:2] {
		for _, at := range u.Received() {
			if at.After(frozen) {
				late++
			}
		}
	}
	if late > 0 || n != requests {
		t.Errorf("%d requests reached the evacuated data centre; %d of %d were served", late, n, requests)
	}
}
