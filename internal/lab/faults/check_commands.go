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
	linearizabilityTimeout = 20 * time.Second // a check that takes longer reports no violation
	microsecondsPerSecond  = 1e6
	openEnded              = math.MaxInt64 - 1 // return time of a command whose end is unknown
)

// commandInput is an operator's command, as input of policyModel.
type commandInput struct {
	proposes bool
	number   uint64
}

// checkLinearizable checks that the operators' commands are linearizable: one order of all commands exists in which
// each takes effect between its call and its return and returns the result of the commands before it. A command whose
// end is unknown may have taken effect at any time after its call; the history shows how its change ended.
func (c *checker) checkLinearizable(end float64) {
	operations := c.commandOperations()
	if len(operations) == 0 {
		return
	}
	c.verdict.Seen["commands in order"] = len(operations)
	operations = append(operations, c.unreportedChanges(len(operations))...)
	if porcupine.CheckOperationsTimeout(policyModel, operations, linearizabilityTimeout) == porcupine.Illegal {
		c.violated(ruleLinearizable, end, "the results of %d commands are not linearizable", len(operations))
	}
}

// policyModel models the number of the policy in force. An accepted change raises it, and a query returns it. The
// numbers of abandoned changes are skipped.
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

// commandOperations returns the commands that changed the policy or returned its number. Their times are in
// microseconds.
func (c *checker) commandOperations() []porcupine.Operation {
	var operations []porcupine.Operation
	for i, command := range c.policies.commands {
		input := commandInput{proposes: command.Detail == verbPropose, number: command.Number}
		result := command.Result
		returned := int64(command.At * microsecondsPerSecond)
		if result == ResultUnknown || result == ResultRejected {
			ended, ok := c.policies.changeEnds[command.ID]
			if !input.proposes || !ok || ended.Result != ResultAccepted {
				continue // the command returned no number and changed nothing
			}
			if result == ResultRejected {
				c.violated(ruleLinearizable, command.At, "change %s was rejected, but is in force as number %d",
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
			Call:     int64(command.Value * microsecondsPerSecond),
			Output:   input.number,
			Return:   returned,
		})
	}
	return operations
}

// unreportedChanges returns the accepted changes that no command reported, such as those of operators that were cut off
// before their command ended. operationCount is the number of operations that precede them; it keeps the client IDs
// unique.
func (c *checker) unreportedChanges(operationCount int) []porcupine.Operation {
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
			ClientId: operationCount + len(operations) + len(c.policies.commands),
			Input:    commandInput{proposes: true, number: ended.Number},
			Output:   ended.Number,
			Return:   openEnded,
		})
	}
	return operations
}
