package run

import (
	"net/http"
	"testing"

	"damaskrouter.example/damaskrouter/client"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"github.com/stretchr/testify/require"
)

// A benchmark that counts a truncated response, another request's response or a
// missing response as correct would hide violated guarantees.
func TestClassifyDetectsWrongAnswers(t *testing.T) {
	notExecuted := apierr.New(apierr.CodeQueueFull, http.StatusServiceUnavailable, "full")
	for _, c := range []struct {
		text string
		err  error
		want outcome
	}{
		{"whole answer", nil, answered},
		{"whole", nil, lost},
		{"another answer", nil, mixed},
		{"whole answer and more", nil, mixed},
		{"", notExecuted, refused},
		{"", notExecuted.WithRan(apierr.RanUnknown), interrupted},
		{"who", notExecuted.WithRan(apierr.RanYes), interrupted},
		{"", client.ErrOutcomeUnknown.New("cut"), lost},
		{"", client.ErrNoRouter.New("nobody"), lost},
	} {
		require.Equal(t, c.want, classify(c.text, "whole answer", c.err), "%q %v", c.text, c.err)
	}
}

// A reply that belongs to another call must not count as the response.
func TestClassifyReplyDetectsForeignReplies(t *testing.T) {
	receipt := &workload.Call{Account: "a", Method: http.MethodPost, Path: "/receipts"}
	status := &workload.Call{Account: "a", Method: http.MethodGet, Path: "/status/*"}
	for _, c := range []struct {
		call *workload.Call
		body string
		want outcome
	}{
		{receipt, `{"number":1,"kind":"receipts","key":"a/7"}`, answered},
		{receipt, `{"number":1,"kind":"receipts","key":"a/8"}`, mixed},
		{receipt, `{"number":1,`, lost},
		{status, `{"kind":"status","id":"7","state":"status of 7: open"}`, answered},
		{status, `{"kind":"status","id":"8","state":"status of 8: open"}`, mixed},
		{status, ``, lost},
	} {
		reply := client.Reply{Status: http.StatusOK, Body: []byte(c.body)}
		require.Equal(t, c.want, classifyReply(c.call, "7", reply, nil), c.body)
	}
}
