package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// playFirstStart cuts one core off from the others at the first start, for 7 s. The
// operator reaches both sides. The core that is cut off loses its disk right after it
// has acknowledged the desired state.
func playFirstStart(rec *record, trouble bool) error {
	c, err := newCluster(rec, 5, 0)
	if err != nil {
		return err
	}
	defer c.close()
	// Each core stands behind a proxy for the other cores, which know it by the seeds.
	first := c.cores[0]
	var proxies []*proxy
	for i, p := range c.cores {
		p.inner = fmt.Sprintf("%s.%d", c.subnet, 61+i)
		x, err := newProxy(fmt.Sprintf("%s:%d", p.ip, c.ports.peer), fmt.Sprintf("%s:%d", p.inner, c.ports.peer))
		if err != nil {
			return err
		}
		defer x.close()
		if x.only = first.inner; i == 0 {
			x.only, x.except = "", first.inner
		}
		proxies = append(proxies, x)
	}
	isCut, isWiped := trouble, trouble || os.Getenv("DISK") == "lost"
	if isCut {
		rec.line("CUT %s from the other cores", first.name)
		for _, x := range proxies {
			x.cut()
		}
	}
	if err = c.start(); err != nil {
		return err
	}
	healed := make(chan struct{})
	go func() {
		defer close(healed)
		if !isCut {
			return
		}
		rec.sleepUntil(7)
		rec.line("HEAL %s", first.name)
		for _, x := range proxies {
			x.heal()
		}
	}()
	rec.sleepUntil(0.3)
	op := newOperator(rec, c.seeds...)
	if !op.configure(20*time.Second, desiredState(7, 1, key1)) {
		return errNotReady
	}
	rec.line("The desired state 7 is acknowledged.")
	if isWiped {
		c.kill(first)
		if err = os.RemoveAll(first.dataDir()); err != nil {
			return err
		}
		rec.line("%s has lost its disk", first.name)
		time.Sleep(3 * time.Second)
		if err = c.startProcess(first, false); err != nil {
			return err
		}
	}
	<-healed
	// recoveryS is 12 s after the machine is back; the read-back goes on for contactMs.
	time.Sleep(12 * time.Second)
	status := 0
	read := waitFor(15*time.Second, func() bool {
		var answer string
		status, answer = op.order(time.Second, http.MethodGet, "/plantainladder/config", "")
		return status == http.StatusOK && answer == desiredState(7, 1, key1)
	})
	if !read {
		rec.broken("LOST, CONFIG: the desired state 7 was acknowledged; read back for 15 s, from 12 s after all machines were back, the last answer is %d", status)
	}
	return nil
}
