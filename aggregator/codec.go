package aggregator

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// format is the first byte of each message. A release that changes the messages in a way
	// that this one can't read counts it up.
	format = 1
	// MaxReportBytes limits the size of an encoded Report. In base64, it fits into a header of
	// 16 KB.
	MaxReportBytes = 12 << 10
	// MaxPictureBytes limits the size of an encoded Picture, as MaxReportBytes does.
	MaxPictureBytes = 12 << 10
	// MaxAnswerBytes limits the size of an encoded Answer. The half of a zone with 200
	// balancers of 20 classes and 2,000 targets takes 200 KB.
	MaxAnswerBytes = 1 << 20
	// maxPictureEntries limits the classes, and likewise the speeds, of a Picture.
	maxPictureEntries = 256
	// maxElements limits the elements of one array of a message.
	maxElements = 4096
	// speedUnits is the number of units of a speed of 1 in messages.
	speedUnits = 1000
)

// decoder decodes messages. Its limits bound the memory for a message.
var decoder = must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: 16, MaxNestedLevels: 8}.DecMode())

// encoder writes numbers in the shortest form that keeps them.
var encoder = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return value
}

func encode(message any) ([]byte, error) {
	data, err := encoder.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a load report")
	}
	return append([]byte{format}, data...), nil
}

func decode(data []byte, maxBytes int, message any) error {
	switch {
	case len(data) > maxBytes:
		return &InvalidError{ReasonTooLarge}
	case len(data) == 0 || data[0] == 0:
		return &InvalidError{ReasonMalformed}
	case data[0] > format:
		return &InvalidError{ReasonNewerFormat}
	}
	if err := decoder.Unmarshal(data[1:], message); err != nil {
		return &InvalidError{ReasonMalformed}
	}
	return nil
}

// Encode returns the encoded report. Entries are left out until it has at most MaxReportBytes.
func (r *Report) Encode() ([]byte, error) {
	shorter := *r
	for {
		data, err := encode(&shorter)
		if err != nil || len(data) <= MaxReportBytes {
			return data, err
		}
		shorter.Targets = shorter.Targets[:len(shorter.Targets)/2]
		if len(shorter.Targets) == 0 {
			shorter.Services = nil
			shorter.Classes = shorter.Classes[:len(shorter.Classes)/2]
		}
	}
}

// DecodeReport decodes a Report. It returns an *InvalidError if data holds none. The numbers of
// the Report have yet to be validated.
func DecodeReport(data []byte) (Report, error) {
	var r Report
	err := decode(data, MaxReportBytes, &r)
	return r, err
}

// wireSummary is a Summary in messages.
type wireSummary struct {
	_                struct{} `cbor:",toarray"`
	AvailabilityZone string
	Balancers        int
	Age              time.Duration
	Distance         time.Duration
	Demand           []wireDemand
	Speeds           []wireSpeed
}

type wireDemand struct {
	_       struct{} `cbor:",toarray"`
	Class   Class
	Demands [5]float32
}

type wireSpeed struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	// Speed is in units of 1/speedUnits.
	Speed uint16
}

// newWireSummary returns a Summary with at most limit classes and limit speeds: those with the
// most requests and the slowest.
func newWireSummary(s Summary, limit int) wireSummary {
	w := wireSummary{AvailabilityZone: s.AvailabilityZone, Balancers: s.Balancers, Age: s.Age, Distance: s.Distance}
	for class, d := range s.Demand {
		w.Demand = append(w.Demand, wireDemand{Class: class, Demands: [5]float32{
			float32(d.Openings), float32(d.Rejected), float32(d.Requests), float32(d.Answered), float32(d.Concurrency),
		}})
	}
	w.Demand = largest(w.Demand, limit, func(a, b wireDemand) bool { return a.Demands[0]+a.Demands[2] > b.Demands[0]+b.Demands[2] })
	for target, speed := range s.Speeds {
		w.Speeds = append(w.Speeds, wireSpeed{Target: target, Speed: uint16(max(math.Round(speed*speedUnits), 1))})
	}
	w.Speeds = largest(w.Speeds, limit, func(a, b wireSpeed) bool { return a.Speed < b.Speed })
	return w
}

// summary returns the Summary, or an *InvalidError if its numbers are impossible.
func (w *wireSummary) summary() (Summary, error) {
	s := Summary{AvailabilityZone: w.AvailabilityZone, Balancers: w.Balancers, Age: w.Age, Distance: w.Distance}
	if w.AvailabilityZone == "" || len(w.AvailabilityZone) > maxNameBytes || w.Balancers < 0 || w.Age < 0 || w.Distance < 0 || w.Age > time.Hour || w.Distance > time.Hour {
		return Summary{}, &InvalidError{ReasonImpossible}
	}
	for _, d := range w.Demand {
		for _, number := range d.Demands {
			if !(number >= 0 && number <= maxZoneRate) || !d.Class.valid() { // a NaN isn't 0 or more
				return Summary{}, &InvalidError{ReasonImpossible}
			}
		}
		if s.Demand == nil {
			s.Demand = make(map[Class]Demand, len(w.Demand))
		}
		s.Demand[d.Class] = Demand{
			Openings: float64(d.Demands[0]), Rejected: float64(d.Demands[1]),
			Requests: float64(d.Demands[2]), Answered: float64(d.Demands[3]), Concurrency: float64(d.Demands[4]),
		}
	}
	for _, speed := range w.Speeds {
		if speed.Speed == 0 || speed.Speed > speedUnits {
			return Summary{}, &InvalidError{ReasonImpossible}
		}
		if s.Speeds == nil {
			s.Speeds = make(map[uint64]float64, len(w.Speeds))
		}
		s.Speeds[speed.Target] = float64(speed.Speed) / speedUnits
	}
	return s, nil
}

// maxZoneRate is more than all balancers of a zone can forward in a second.
const maxZoneRate = 1e9

// Encode returns the encoded Picture. Classes with few requests and targets that are hardly slow
// are left out until it has at most MaxPictureBytes.
func (p Picture) Encode() ([]byte, error) {
	for limit := maxPictureEntries / max(len(p.Zones), 1); ; limit /= 2 {
		summaries := make([]wireSummary, 0, len(p.Zones))
		for _, zone := range sortedKeys(p.Zones) {
			summaries = append(summaries, newWireSummary(p.Zones[zone], limit))
		}
		data, err := encode(summaries)
		if err != nil || len(data) <= MaxPictureBytes || limit == 0 {
			return data, err
		}
	}
}

// DecodePicture decodes a Picture. It returns an *InvalidError if data holds none or its numbers
// are impossible.
func DecodePicture(data []byte) (Picture, error) {
	var summaries []wireSummary
	if err := decode(data, MaxPictureBytes, &summaries); err != nil {
		return Picture{}, err
	}
	p := Picture{Zones: make(map[string]Summary, len(summaries))}
	for i := range summaries {
		s, err := summaries[i].summary()
		if err != nil {
			return Picture{}, err
		}
		p.Zones[s.AvailabilityZone] = s
	}
	return p, nil
}
