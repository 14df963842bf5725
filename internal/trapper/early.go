//go:build cgo

package trapper

// The constructor runs before the initialization of the Go runtime, which keeps SIGHUP ignored if it
// finds it so.

/*
#include <signal.h>

static void __attribute__((constructor)) wigeonstand_ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
