package service

import (
	"time"

	"github.com/rs/zerolog"
)

const slowAfter = time.Second // a reading of the operator's file that is not done by then is told of

// fileRead is what a reading of the operator's file came to.
type fileRead struct {
	take func(log zerolog.Logger) error // puts the file in force, or nothing of it
	err  error
}

// fileReading is a reading of the operator's file that is under way beside the signals; the zero value is none. Guards against a file that is evaluated
// for long, or comes from a disk that stands still, which nothing can cut off: a drain, or a change log that moves, would wait for it.
type fileReading struct {
	done   chan fileRead    // nil while none is under way
	slow   <-chan time.Time // nil once it was told that it takes long
	report func()           // logs that the configuration was read, unless that is done
	again  bool             // SIGHUP came meanwhile
}

// extend begins to read the operator's file, one reading at a time. What SIGHUP brought besides is reported once the file is in force, or was not taken,
// or takes long.
func (s *service) extend(report func()) {
	if s.extension == nil {
		report()
		return
	}
	if s.reading.done != nil {
		s.reading.again = true
		report()
		return
	}
	done := make(chan fileRead, 1)
	s.reading = fileReading{done: done, slow: time.After(slowAfter), report: report}
	go func() { // ends when the file was read, or with the process
		take, err := s.extension.Read()
		done <- fileRead{take, err}
	}()
}

// extended puts a file that was read in force, and reads it once more if SIGHUP came meanwhile.
func (s *service) extended(file fileRead) {
	was := s.reading
	s.reading = fileReading{}
	s.putInForce(file)
	was.report()
	if was.again {
		s.extend(func() {})
	}
}

// extendsSlowly tells that the operator's file is still being read.
func (s *service) extendsSlowly() {
	s.log.Warn().Msg("operator's file is still being read, the old one stays until then")
	s.reading.report()
	s.reading.slow, s.reading.report = nil, func() {}
}

// putInForce puts the operator's file in force, or nothing of it.
func (s *service) putInForce(file fileRead) {
	err := file.err
	if err == nil {
		err = file.take(s.log)
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("operator's file can't be used, the old one stays")
		return
	}
	s.fronts.review()
	s.resize(s.extension.Cores())
}
