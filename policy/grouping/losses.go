package grouping

import "math"

// LossEstimator learns which part of the VMs in groups is lost in a second.
//
// What goes wrong without it: spares and weights are kept for losses that do not come, while a group that lacks one member waits, or too few are
// kept where VMs are lost by the dozen.
type LossEstimator struct {
	lost, vmSeconds float64
}

const (
	// defaultLossRate is taken until more is known: one of a hundred and twenty-five VMs in a second.
	defaultLossRate = 0.008
	// priorVMSeconds is how much that counts, in VM-seconds: as much as what eighty VMs show in five seconds.
	priorVMSeconds = 400
	// lossDecaySeconds is how many seconds are remembered: some losses must fall into them, and a bad hour must be forgotten soon.
	lossDecaySeconds = 60
	// minVMSeconds is how many VM-seconds tell anything.
	minVMSeconds = 1
)

// NewLossEstimator returns what is taken until more is known.
func NewLossEstimator() *LossEstimator {
	return &LossEstimator{lost: defaultLossRate * priorVMSeconds, vmSeconds: priorVMSeconds}
}

// ObserveExposure notes that so many VMs were in groups for the last seconds.
func (l *LossEstimator) ObserveExposure(vms int, seconds float64) {
	decay := math.Exp(-seconds / lossDecaySeconds)
	l.lost *= decay
	l.vmSeconds = l.vmSeconds*decay + float64(vms)*seconds
}

// ObserveLoss notes that a group has lost a member.
func (l *LossEstimator) ObserveLoss() { l.lost++ }

// Rate is the part of the VMs that is lost in a second.
func (l *LossEstimator) Rate() float64 {
	if l.vmSeconds < minVMSeconds {
		return defaultLossRate
	}
	return l.lost / l.vmSeconds
}
