package replica

import "fmt"

// silentLogger is Raft's logger. What goes wrong comes out of the calls; what is fatal is a panic, which the calls
// recover from.
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
