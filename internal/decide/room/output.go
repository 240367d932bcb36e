package room

import "math"

const (
	// minOutputs is the number of outputs before which nothing is concluded from them; firstFactor is the
	// ratio of output to hint that is assumed until then. Hints are right at the median, and long outputs make
	// the mean larger.
	minOutputs, firstFactor = 10, 1.3
	// remembered is the number of the latest outputs that count.
	remembered = 500
	// bucketsPerOctave and octaves define the histogram of the ratio of events to hinted tokens: eighths of a
	// power of two, from 2^-8 to 2^8.
	bucketsPerOctave, octaves = 8, 8
)

// Outputs learns how long the outputs of a kind of request are, given their callers' hints. The larger the
// error of hints, the less a hint says and the more the kind's own mean does: the logarithm of the length is a
// linear function of that of the hint, which is fitted to the latest outputs.
//
// What a router sees of an output is its events, which hold an unknown number of tokens. As hints are right
// at the median, the median of events per hinted token tells that number.
//
// The zero value is ready to use. It is not safe for concurrent use.
type Outputs struct {
	// ratios is a histogram of the ratio of events to hinted tokens.
	ratios [2*bucketsPerOctave*octaves + 1]float64
	// count, and the sums of x, y, x², xy and y², where x is the logarithm of the hint and y that of the
	// number of events.
	count, x, y, xx, xy, yy float64
}

// Observe records a complete output.
func (o *Outputs) Observe(hint, events int) {
	if hint <= 0 || events <= 0 {
		return
	}
	const keep = 1 - 1.0/remembered
	for i := range o.ratios {
		o.ratios[i] *= keep
	}
	x, y := math.Log2(float64(hint)), math.Log2(float64(events))
	const last = len(o.ratios) - 1
	o.ratios[min(max(int(math.Round((y-x)*bucketsPerOctave))+last/2, 0), last)]++
	o.count, o.x, o.y = o.count*keep+1, o.x*keep+x, o.y*keep+y
	o.xx, o.xy, o.yy = o.xx*keep+x*x, o.xy*keep+x*y, o.yy*keep+y*y
}

// tokensPerEvent returns the logarithm of the number of tokens in an event.
func (o *Outputs) tokensPerEvent() float64 {
	below := 0.0
	for i, weight := range o.ratios {
		if below += weight; below >= o.count/2 {
			return float64(len(o.ratios)/2-i) / bucketsPerOctave
		}
	}
	return 0
}

// Expect returns the expected length of an output, in tokens, from the caller's hint and the most that the
// caller allows; each may be zero if it is not stated.
func (o *Outputs) Expect(hint, most int) int {
	expected := firstFactor * float64(hint)
	switch {
	case o.count >= minOutputs:
		expected = o.fitted(hint)
	case hint <= 0:
		return most
	}
	if most > 0 {
		expected = min(expected, float64(most))
	}
	return int(expected)
}

// fitted returns the mean length that follows from the latest outputs. Lengths are taken to be spread
// log-normally around the fitted line.
func (o *Outputs) fitted(hint int) float64 {
	meanX, meanY := o.x/o.count, o.y/o.count
	varX, varY, cov := o.xx/o.count-meanX*meanX, o.yy/o.count-meanY*meanY, o.xy/o.count-meanX*meanY
	slope := 0.0
	if varX > 0 && hint > 0 {
		slope = min(max(cov/varX, 0), 1)
	}
	log := meanY + o.tokensPerEvent()
	if hint > 0 {
		log += slope * (math.Log2(float64(hint)) - meanX)
	}
	variance := max(varY-2*slope*cov+slope*slope*varX, 0)
	return math.Exp2(log + variance*math.Ln2/2)
}
