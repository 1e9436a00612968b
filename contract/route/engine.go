package route

import "time"

// Engine describes the model engines of a service: how they batch requests, and the models that they serve.
type Engine struct {
	// Slots is how many requests one group runs at once.
	Slots int
	// KVCacheTokens is the size of one group's KV cache, in tokens.
	KVCacheTokens int
	// StepTime is the time of one decode step. StepTimePerSequence is added for each running request, and
	// StepTimePerContext for each thousand tokens of its context.
	StepTime, StepTimePerSequence, StepTimePerContext time.Duration
	// PrefillTokensPerSecond is the prefill rate for prompt tokens. At most PrefillChunkTokens are prefilled in one
	// step.
	PrefillTokensPerSecond float64
	PrefillChunkTokens     int
	// StepsPerPass is how many steps run in one pass.
	StepsPerPass int
	// MeanPromptTokens and MeanAnswerTokens are the mean numbers of tokens of a request.
	MeanPromptTokens, MeanAnswerTokens float64
	Models                             []Model
	// LoadsPerSecond bounds how many loads from the weight store may begin per second, over all VMs.
	LoadsPerSecond float64
	// LoadsAtOnce is how many loads from the weight store run at full speed at the same time.
	LoadsAtOnce int
	// LoadReportDelay is how old a load report is when it arrives.
	LoadReportDelay time.Duration
	// GroupOpenTime is the time from the order to open a group until it serves requests.
	GroupOpenTime time.Duration
}

// Model is one model of a service. A replica of it is a group of Size VMs.
type Model struct {
	Name string
	Size int
	// DemandShare is the model's initial share of the VMs that the demand requires.
	DemandShare float64
	// TimeFactor is a factor on all times of a group of this model.
	TimeFactor float64
	// LoadTime is how long a load from the weight store takes, and WarmLoadTime how long one from the VM's own host
	// takes.
	LoadTime, WarmLoadTime time.Duration
}

// Model returns the model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}
