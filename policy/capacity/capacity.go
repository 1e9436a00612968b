// Package capacity computes how many requests per second a group can serve.
//
// Load pattern: long prompts and short answers for one model, short prompts and long answers for another. A group
// decodes the answers of all its requests step by step, and prefills the prompts of new ones in between.
//
// Free slots alone are a poor measure of a group's spare capacity. Where prompts are long, their prefill takes all of
// a group's time while half of its slots are free: its requests are late, but by its slots the model has twice the
// groups that it needs. No groups are added for it, and its VMs are given to a model that does not need them.
package capacity

import "time"

// Engine describes the performance of a group of one model.
type Engine struct {
	// Slots is how many requests the group runs at once.
	Slots int
	// KVCacheTokens is the size of its KV cache; 0 if unknown.
	KVCacheTokens int
	// StepTime is the time of one decode step. StepTimePerSequence is added for each running request, and
	// StepTimePerContext for each thousand tokens of that request's context.
	StepTime, StepTimePerSequence, StepTimePerContext time.Duration
	// StepsPerPass is how many steps run in one pass; a new request starts with the next pass.
	StepsPerPass int
	// PrefillTokensPerSecond is the prefill rate for prompt tokens.
	PrefillTokensPerSecond float64
	// TimeFactor is a factor on all of these times; 0 counts as 1.
	TimeFactor float64
}

// RequestSize is the size of a request in tokens, or the mean size of several requests.
type RequestSize struct {
	PromptTokens, OutputTokens float64
}

// Rate returns how many requests per second a group serves with all slots occupied, or 0 if the engine's times or the
// request size are unknown.
func (e Engine) Rate(size RequestSize) float64 {
	running := e.maxRunning(size)
	if e.StepTime <= 0 || e.PrefillTokensPerSecond <= 0 || running <= 0 || size.PromptTokens+size.OutputTokens <= 0 {
		return 0
	}
	context := (size.PromptTokens + size.OutputTokens/2) / 1000
	// A step serves all running requests, so each request accounts for its share of it.
	perToken := e.StepTime.Seconds()/running + e.StepTimePerSequence.Seconds() + e.StepTimePerContext.Seconds()*context
	return 1 / (e.timeFactor() * (size.PromptTokens/e.PrefillTokensPerSecond + size.OutputTokens*perToken))
}

// maxRunning returns how many requests run at once in a full group, limited by its slots and by its KV cache.
func (e Engine) maxRunning(size RequestSize) float64 {
	running := float64(e.Slots)
	if tokens := size.PromptTokens + size.OutputTokens; e.KVCacheTokens > 0 && tokens > 0 {
		running = min(running, float64(e.KVCacheTokens)/tokens)
	}
	return running
}

func (e Engine) timeFactor() float64 {
	if e.TimeFactor <= 0 {
		return 1
	}
	return e.TimeFactor
}

// SlowedBy returns the performance of the group while it works slower by a factor of 1 or more, because one of its VMs does: its times
// grow, and it runs fewer requests at once. A slow group that got as many requests as the others would answer none of them in time.
func (e Engine) SlowedBy(factor float64) Engine {
	if factor <= 1 {
		return e
	}
	e.TimeFactor = e.timeFactor() * factor
	e.Slots = max(1, int(float64(e.Slots)/factor))
	return e
}

// PrefillTime returns how long a group takes to prefill a prompt of the given number of tokens; 0 if unknown.
func (e Engine) PrefillTime(promptTokens float64) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(e.timeFactor() * promptTokens / e.PrefillTokensPerSecond * float64(time.Second))
}

// PassTime returns how long one pass takes with the given number of running requests, without prefill.
func (e Engine) PassTime(running int) time.Duration {
	step := e.StepTime + time.Duration(running)*e.StepTimePerSequence
	return time.Duration(e.timeFactor() * float64(max(1, e.StepsPerPass)) * float64(step))
}
