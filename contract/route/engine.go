package route

import "time"

// Engine describes the model engines of a service: how they batch, and the models that they serve.
type Engine struct {
	// Slots is how many requests one group runs at once.
	Slots int
	// KVCacheTokens is the memory of one group, in tokens.
	KVCacheTokens int
	// StepTime is the time of one token step, StepTimePerSequence what each running request adds to it, and StepTimePerContext what
	// each thousand tokens of its context add.
	StepTime, StepTimePerSequence, StepTimePerContext time.Duration
	// PrefillTokensPerSecond is how many prompt tokens are read in a second, at most Chunk in one step.
	PrefillTokensPerSecond float64
	PrefillChunkTokens     int
	// StepsPerPass is how many steps run in one pass.
	StepsPerPass int
	// MeanPromptTokens and MeanAnswerTokens are mean token counts.
	MeanPromptTokens, MeanAnswerTokens float64
	Models                             []Model
	// LoadsPerSecond bounds how many loads from the weight store may begin in a second, over all VMs.
	LoadsPerSecond float64
	// LoadsAtOnce is how many loads run at full speed at the same time.
	LoadsAtOnce int
	// LoadReportDelay is how old a load report is when it arrives.
	LoadReportDelay time.Duration
	// GroupOpenTime is how long a group takes from the order to open until it serves.
	GroupOpenTime time.Duration
}

// Model is one model of a service. A replica of it is a group of Size VMs.
type Model struct {
	Name string
	Size int
	// DemandShare is the model's part of the VMs that the demand needs at the start.
	DemandShare float64
	// TimeFactor is a factor on all times of a group of this model.
	TimeFactor float64
	// LoadTime is how long a load from the weight store takes, WarmLoadTime one from the VM's own host.
	LoadTime, WarmLoadTime time.Duration
}

// Model returns the model of a name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}
