package grouping

import "math"

// LossEstimator estimates the fraction of the VMs in groups that is lost per second.
//
// Without it, spares and weights are reserved for losses that do not occur while a group that lacks one member waits, or too few are reserved
// where VMs are lost by the dozen.
type LossEstimator struct {
	lost, vmSeconds float64
}

const (
	// defaultLossRate is assumed until losses have been observed: 1 of 125 VMs per second.
	defaultLossRate = 0.008
	// priorVMSeconds is the weight of the default rate, in VM-seconds: as much as observing 80 VMs for 5 s.
	priorVMSeconds = 400
	// lossDecaySeconds is the time constant with which old observations decay. It must be long enough to contain some losses and short enough
	// that a period of frequent losses is soon forgotten.
	lossDecaySeconds = 60
	// minVMSeconds is the smallest number of VM-seconds from which a rate is computed.
	minVMSeconds = 1
)

// NewLossEstimator returns an estimator that starts with the default rate.
func NewLossEstimator() *LossEstimator {
	return &LossEstimator{lost: defaultLossRate * priorVMSeconds, vmSeconds: priorVMSeconds}
}

// ObserveExposure records that the given number of VMs were in groups during the last seconds.
func (l *LossEstimator) ObserveExposure(vms int, seconds float64) {
	decay := math.Exp(-seconds / lossDecaySeconds)
	l.lost *= decay
	l.vmSeconds = l.vmSeconds*decay + float64(vms)*seconds
}

// ObserveLoss records that a group has lost a member.
func (l *LossEstimator) ObserveLoss() { l.lost++ }

// Rate returns the estimated fraction of the VMs in groups that is lost per second.
func (l *LossEstimator) Rate() float64 {
	if l.vmSeconds < minVMSeconds {
		return defaultLossRate
	}
	return l.lost / l.vmSeconds
}
