package route

import "time"

// Engine describes the model engines of a service: how they batch, and the models that they serve.
type Engine struct {
	// Slots is how many requests one group runs at once.
	Slots int
	// KVTokens is the memory of one group, in tokens.
	KVTokens int
	// Step is the time of one token step, PerSequence what each running request adds to it, and PerContext what
	// each thousand tokens of its context add.
	Step, PerSequence, PerContext time.Duration
	// ReadPerSecond is how many prompt tokens are read in a second, at most Chunk in one step.
	ReadPerSecond float64
	Chunk         int
	// Stride is how many steps run in one pass.
	Stride int
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt, UsualAnswer float64
	Models                   []Model
	// LoadsPerSecond bounds how many loads from the weight store may begin in a second, over all VMs.
	LoadsPerSecond float64
	// LoadsAtOnce is how many loads run at full speed at the same time.
	LoadsAtOnce int
	// ReportLag is how old a load report is when it arrives.
	ReportLag time.Duration
	// OpenTime is how long a group takes from the order to open until it serves.
	OpenTime time.Duration
}

// Model is one model of a service. A replica of it is a group of Size VMs.
type Model struct {
	Name string
	Size int
	// Share is the model's part of the VMs that the demand needs at the start.
	Share float64
	// Pace is a factor on all times of a group of this model.
	Pace float64
	// Load is how long a load from the weight store takes, Warm one from the VM's own host.
	Load, Warm time.Duration
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
