package replica

import "fmt"

// silentLogger is the logger that Raft uses. It discards all messages, because Raft's calls return their errors. Fatal
// errors become panics, from which the methods of Replica recover.
type silentLogger struct{}

func (silentLogger) Debug(...any)            {}
func (silentLogger) Debugf(string, ...any)   {}
func (silentLogger) Info(...any)             {}
func (silentLogger) Infof(string, ...any)    {}
func (silentLogger) Warning(...any)          {}
func (silentLogger) Warningf(string, ...any) {}
func (silentLogger) Error(...any)            {}
func (silentLogger) Errorf(string, ...any)   {}

func (silentLogger) Fatal(values ...any)                 { panic(fmt.Sprint(values...)) }
func (silentLogger) Fatalf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }
func (silentLogger) Panic(values ...any)                 { panic(fmt.Sprint(values...)) }
func (silentLogger) Panicf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }
