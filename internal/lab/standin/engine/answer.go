package engine

import (
	"strconv"
	"strings"

	"damaskrouter.example/damaskrouter/internal/serve/chat"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

const (
	// minAnswer and answerSpread determine the length, in chunks, of the answer
	// to a request without MaxTokens.
	minAnswer    = 16
	answerSpread = 48
	// wordMask limits the length of a word.
	wordMask = 1<<30 - 1
	wordBase = 36
)

// Answer returns the chunks of the answer to req. It depends only on model,
// adapter, messages and MaxTokens, so that a test can distinguish the complete
// answer to each request from any other.
func Answer(req wire.ChatRequest) []string {
	seed := answerSeed(chat.Boundaries(req.Model, req.Adapter, req.Messages))
	words := make([]string, answerLength(seed, req.MaxTokens))
	for i := range words {
		words[i] = answerWord(seed, i)
	}
	return words
}

// AnswerText returns the complete answer to req.
func AnswerText(req wire.ChatRequest) string {
	return strings.Join(Answer(req), "")
}

func answerSeed(prompt []chat.Boundary) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[len(prompt)-1].Hash
}

func answerLength(seed uint64, maxTokens int) int {
	if maxTokens > 0 {
		return maxTokens
	}
	return minAnswer + int(seed%answerSpread)
}

func answerWord(seed uint64, i int) string {
	return strconv.FormatUint(mix(seed+uint64(i))&wordMask, wordBase) + " "
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
