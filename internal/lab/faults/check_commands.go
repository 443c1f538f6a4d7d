package faults

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	linearizabilityTimeout = 20 * time.Second  // then nothing is said
	microseconds           = 1e6               // of a second: the unit of the commands' times
	openEnded              = math.MaxInt64 - 1 // the return of a command whose end nobody learned of
)

// commandInput is an operator's command as the model of the policy sees it.
type commandInput struct {
	proposes bool
	number   uint64
}

// checkLinearizable checks that there is one order of all commands, each between its call and its return, in which each
// returns what those before it have led to. A command whose end is not known may have taken effect at any time after
// its call: how it ended is in the history.
func (c *checker) checkLinearizable(end float64) {
	operations := c.commandOperations()
	if len(operations) == 0 {
		return
	}
	c.verdict.Seen["commands in order"] = len(operations)
	operations = append(operations, c.unreportedChanges(len(operations))...)
	if porcupine.CheckOperationsTimeout(policyModel, operations, linearizabilityTimeout) == porcupine.Illegal {
		c.violated(ruleLinearizable, end, "what %d commands were told fits no order of them", len(operations))
	}
}

// policyModel is the number of the policy in force: an accepted change raises it, a query returns it. The numbers of
// changes that were abandoned are skipped.
var policyModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		number, isNumber := state.(uint64)
		command, isCommand := input.(commandInput)
		if !isNumber || !isCommand {
			return false, state
		}
		if command.proposes {
			return command.number > number, command.number
		}
		return number == command.number, number
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// commandOperations are the commands that have changed something, or returned a number.
func (c *checker) commandOperations() []porcupine.Operation {
	var operations []porcupine.Operation
	for i, command := range c.policies.commands {
		input := commandInput{proposes: command.Detail == verbPropose, number: command.Number}
		result := command.Result
		returned := int64(command.At * microseconds)
		if result == ResultUnknown || result == ResultRejected {
			ended, ok := c.policies.changeEnds[command.ID]
			if !input.proposes || !ok || ended.Result != ResultAccepted {
				continue // it returned nothing and changed nothing
			}
			if result == ResultRejected {
				c.violated(ruleLinearizable, command.At, "change %s was rejected, and is in force as number %d",
					command.ID, ended.Number)
				continue
			}
			result = ResultAccepted
			input.number = ended.Number
			returned = openEnded
		}
		if input.proposes && result != ResultAccepted {
			continue
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i,
			Input:    input,
			Call:     int64(command.Value * microseconds),
			Output:   input.number,
			Return:   returned,
		})
	}
	return operations
}

// unreportedChanges are the accepted changes of which no command reported, such as those of operators that were cut off
// before the end. listed is the number of operations before them.
func (c *checker) unreportedChanges(listed int) []porcupine.Operation {
	reported := map[string]bool{}
	for _, command := range c.policies.commands {
		reported[command.ID] = true
	}
	var operations []porcupine.Operation
	for _, id := range slices.Sorted(maps.Keys(c.policies.changeEnds)) {
		ended := c.policies.changeEnds[id]
		if reported[id] || ended.Result != ResultAccepted {
			continue
		}
		operations = append(operations, porcupine.Operation{
			ClientId: listed + len(operations) + len(c.policies.commands),
			Input:    commandInput{proposes: true, number: ended.Number},
			Output:   ended.Number,
			Return:   openEnded,
		})
	}
	return operations
}
