package main

import (
	"context"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

// call sends a request to a machine, on a new connection.
func call(m *machine, c platformtest.Call) platformtest.Response {
	c.Address = m.callers.address()
	if c.TimeoutMS == 0 {
		c.TimeoutMS = 2000
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	return c.Do(context.Background(), client)
}
