package soak

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a soak that takes a host for one in touch while a pause lasts longer than
// stableWindow.
func TestSoakKnowsHostsInTouch(t *testing.T) {
	at := time.Now()
	before := func(signal syscall.Signal, offset time.Duration) interruption {
		return interruption{at.Add(-offset), signal}
	}
	const long = time.Minute
	for name, test := range map[string]struct {
		interruptions []interruption
		isInTouch     bool
	}{
		"none":                     {nil, true},
		"long pause":               {[]interruption{before(syscall.SIGSTOP, long), before(syscall.SIGCONT, -long)}, false},
		"pause that ended":         {[]interruption{before(syscall.SIGSTOP, long), before(syscall.SIGCONT, stableWindow-1)}, false},
		"pause that ended before":  {[]interruption{before(syscall.SIGSTOP, long), before(syscall.SIGCONT, stableWindow)}, true},
		"pause that begins":        {[]interruption{before(syscall.SIGSTOP, 0), before(syscall.SIGCONT, -long)}, true},
		"reload in a long pause":   {[]interruption{before(syscall.SIGSTOP, long), before(syscall.SIGHUP, 1)}, false},
		"started after it":         {[]interruption{before(syscall.SIGSTOP, long), before(syscall.SIGKILL, long), before(0, stableWindow)}, true},
		"reload":                   {[]interruption{before(syscall.SIGHUP, 1)}, true},
		"stop":                     {[]interruption{before(syscall.SIGTERM, 1)}, false},
		"pause after another ends": {[]interruption{before(syscall.SIGCONT, long), before(syscall.SIGSTOP, stableWindow)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			host := &hostProcess{interruptions: test.interruptions, storeProxy: &faultProxy{}}
			assert.Equal(t, host.isInTouch(at, at), test.isInTouch)
		})
	}
}
