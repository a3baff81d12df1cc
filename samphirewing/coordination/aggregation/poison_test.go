package aggregation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/poison"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	poisonPart structs.PromptPart = 7
	soundPart  structs.PromptPart = 8
	// agreementTime is within the time for which the platform tolerates that
	// daemons differ, three seconds.
	agreementTime = 1500 * time.Millisecond
)

// crash records a crash at one daemon. All requests carry both parts.
func (m *sim) crash(d *simDaemon, endpoint uint64, others ...structs.PromptPart) {
	var suspects []poison.Suspect
	for _, part := range append(others, poisonPart, soundPart) {
		suspects = append(suspects, poison.Suspect{Part: part, SentAt: m.now.Add(-simStep)})
	}
	d.poison.RecordCrash(m.now, m.now, poison.CrashID{Endpoint: endpoint}, suspects)
}

func (m *sim) blocking(part structs.PromptPart) (count int) {
	for _, d := range m.daemons {
		if _, _, blocked := d.poison.Blocked(m.now, []structs.PromptPart{part}); blocked && !d.down {
			count++
		}
	}
	return count
}

// Guards against evidence that stays with the daemons which saw it: each crash is
// seen by another daemon, none sees enough of them, and messages are lost.
func TestCrashesSeenByDifferentDaemonsAddUp(t *testing.T) {
	for _, c := range []struct{ daemons, domains int }{{4, 3}, {118, 5}, {400, 15}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			m := newSim(1, c.daemons, c.domains)
			m.run(2 * time.Second)
			m.loss = 0.1
			for i := range 3 {
				m.crash(m.daemons[i*(c.daemons-1)/3], uint64(i))
				m.run(200 * time.Millisecond)
			}
			m.daemons[c.daemons-1].poison.RecordAnswer(m.now, []structs.PromptPart{soundPart})
			m.run(agreementTime)
			assert.Equal(t, m.blocking(poisonPart), c.daemons)
			assert.Equal(t, m.blocking(soundPart), 0)

			m.start(m.daemons[0])
			m.run(agreementTime)
			assert.Equal(t, m.blocking(poisonPart), c.daemons, "after a restart of one daemon")
		})
	}
}

// Guards against evidence of long prompts, which does not fit into one message,
// that is late or never complete.
func TestCrashesOfLongPromptsAddUp(t *testing.T) {
	const parts = 1000
	for _, c := range []struct{ daemons, domains int }{{13, 2}, {118, 5}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			m := newSim(1, c.daemons, c.domains)
			m.run(2 * time.Second)
			for i := range 3 {
				var own []structs.PromptPart
				for j := range parts {
					own = append(own, structs.PromptPart(1000+i*parts+j))
				}
				m.crash(m.daemons[i*(c.daemons-1)/3], uint64(i), own...)
				m.run(200 * time.Millisecond)
			}
			m.daemons[c.daemons-1].poison.RecordAnswer(m.now, []structs.PromptPart{soundPart})
			m.run(agreementTime)
			assert.Equal(t, m.blocking(poisonPart), c.daemons)
			assert.Equal(t, m.blocking(soundPart), 0)
		})
	}
}
