// Package capacity works out how many requests a group serves in a second.
//
// Load pattern: long prompts and short answers for one model, short prompts and long answers for another. A group writes the answers of all its
// requests step by step, and reads the prompts of new ones in between.
//
// What goes wrong without it: places are taken for what a group has to give. Where prompts are long, reading them fills a group's time while
// half of its places are free; its requests are late, but by its places the model has twice the groups that it needs. Nothing
// is done for it, and its VMs go to a model that can do without.
package capacity

import "time"

// Engine is what a group of one model takes for its work.
type Engine struct {
	// Slots is how many requests it runs at once.
	Slots int
	// KVCacheTokens is its memory; 0 if that is not known.
	KVCacheTokens int
	// StepTime is the time of one token step, StepTimePerSequence what each running request adds to it, and StepTimePerContext what each thousand tokens of
	// its context add.
	StepTime, StepTimePerSequence, StepTimePerContext time.Duration
	// StepsPerPass is how many steps run in one pass; a new request begins with the next pass.
	StepsPerPass int
	// PrefillTokensPerSecond is how many prompt tokens are read in a second.
	PrefillTokensPerSecond float64
	// TimeFactor is a factor on all of these times.
	TimeFactor float64
}

// RequestSize is what a usual request asks for, in tokens.
type RequestSize struct {
	PromptTokens, OutputTokens float64
}

// Rate returns how many requests a second a group serves whose places are full, or 0 if the engine's times or the work are not known.
func (e Engine) Rate(work RequestSize) float64 {
	running := e.maxRunning(work)
	if e.StepTime <= 0 || e.PrefillTokensPerSecond <= 0 || running <= 0 || work.PromptTokens+work.OutputTokens <= 0 {
		return 0
	}
	context := (work.PromptTokens + work.OutputTokens/2) / 1000
	// A step serves all that run, so that each request bears its part of it.
	perToken := e.StepTime.Seconds()/running + e.StepTimePerSequence.Seconds() + e.StepTimePerContext.Seconds()*context
	return 1 / (e.timeFactor() * (work.PromptTokens/e.PrefillTokensPerSecond + work.OutputTokens*perToken))
}

// maxRunning is how many requests run at once in a full group: as many as it has places, or as its memory holds.
func (e Engine) maxRunning(work RequestSize) float64 {
	running := float64(e.Slots)
	if size := work.PromptTokens + work.OutputTokens; e.KVCacheTokens > 0 && size > 0 {
		running = min(running, float64(e.KVCacheTokens)/size)
	}
	return running
}

func (e Engine) timeFactor() float64 {
	if e.TimeFactor <= 0 {
		return 1
	}
	return e.TimeFactor
}

// PrefillTime is how long a group reads at a prompt; 0 if that is not known.
func (e Engine) PrefillTime(prompt float64) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(e.timeFactor() * prompt / e.PrefillTokensPerSecond * float64(time.Second))
}

// PassTime is how long a group takes for one pass when so many requests run, beside what it reads.
func (e Engine) PassTime(running int) time.Duration {
	step := e.StepTime + time.Duration(running)*e.StepTimePerSequence
	return time.Duration(e.timeFactor() * float64(max(1, e.StepsPerPass)) * float64(step))
}
