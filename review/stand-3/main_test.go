// Package main plays one case of the review: it starts the system's processes on loopback addresses, with
// stand-ins of the platform's store, the engines and the clients. Its test binary is the program.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 117 * time.Second
)

var cases = map[string]func(*world) int{}

// TestMain is the program: its arguments name the case and the folder of the record.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstand CASE FOLDER")
		os.Exit(couldNot)
	}
	w := newWorld(os.Args[2])
	results := make(chan int, 2)
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				w.log("the case could not run: %v", r)
				results <- couldNot
			}
		}()
		results <- cases[os.Args[1]](w)
	}()
	result := couldNot
	select {
	case result = <-results:
	case <-time.After(timeLimit):
		w.log("the case took too long")
	case <-stops:
	}
	w.end()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	text := map[int]string{held: "the rule held", broken: "the rule was broken", couldNot: "the case could not run"}[result]
	w.log("%s", text)
	fmt.Println(text)
	os.Exit(result)
}
