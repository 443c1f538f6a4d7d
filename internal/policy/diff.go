package policy

import (
	"fmt"
	"slices"
)

// Diff lists the differences between two documents, one line for each difference. The lines use the names from the
// operators' documentation instead of the names of the Go fields, because scripts may parse them.
func Diff(before, after *Document) []string {
	var diff differences
	diff.compare("attempts", before.Attempts, after.Attempts)
	diff.compare("come_again", before.RetryAfter, after.RetryAfter)
	diff.compare("over_share_worth", before.OverQuotaPriority, after.OverQuotaPriority)
	diff.compare("ground.attempts", before.Base.Attempts, after.Base.Attempts)
	diff.compare("ground.patience", before.Base.Deadline, after.Base.Deadline)
	diff.compare("needs.descriptors", before.Requirements.Descriptors, after.Requirements.Descriptors)
	diff.compare("needs.memory_mb", before.Requirements.MemoryMB, after.Requirements.MemoryMB)
	diff.compare("plan", before.Failover.text(), after.Failover.text())
	compareLists(&diff, before.Classes, after.Classes)
	compareLists(&diff, before.Tenants, after.Tenants)
	return diff.lines
}

// differences collects the lines that Diff returns.
type differences struct{ lines []string }

// add adds a formatted line.
func (d *differences) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

// compare adds a line for key if the two values differ as text.
func (d *differences) compare(key string, before, after any) {
	beforeText := fmt.Sprint(before)
	afterText := fmt.Sprint(after)
	if beforeText != afterText {
		d.add("%s: %s -> %s", key, beforeText, afterText)
	}
}

// named is an element of a list in a document. Its label identifies it within the list.
type named interface {
	comparable
	label() string
	text() string
}

// compareLists compares two lists whose elements are matched by label. The order of the elements does not matter.
func compareLists[T named](diff *differences, before, after []T) {
	for _, old := range before {
		i := indexByLabel(after, old.label())
		switch {
		case i < 0:
			diff.add("%s: gone", old.label())
		case after[i] != old:
			diff.add("%s: %s -> %s", old.label(), old.text(), after[i].text())
		}
	}
	for _, added := range after {
		if indexByLabel(before, added.label()) < 0 {
			diff.add("%s: new, %s", added.label(), added.text())
		}
	}
}

// indexByLabel returns the index of the element with a label, or -1 if the list has none.
func indexByLabel[T named](list []T, label string) int {
	return slices.IndexFunc(list, func(element T) bool { return element.label() == label })
}

func (c Class) label() string { return "class " + c.Name }

// text returns the class as a diff shows it to operators.
func (c Class) text() string {
	return fmt.Sprintf("{Name:%s Aim:%v Patience:%v MessageAim:%v Worth:%v Ground:%v}",
		c.Name, c.SetupObjective, c.Deadline, c.MessageObjective, c.Priority, c.ServedByBase)
}

func (t Tenant) label() string { return "tenant " + t.Name }

// text returns the tenant as a diff shows it to operators.
func (t Tenant) text() string {
	return fmt.Sprintf("{Name:%s Connections:%v Rate:%v}", t.Name, t.Connections, t.Rate)
}

// text returns the rules as a diff shows them to operators. Without rules in the document, the list of nodes has them.
func (r *FailoverRules) text() string {
	if r == nil {
		return "as the list of nodes says"
	}
	var distances []string
	for _, d := range r.RegionDistances {
		distances = append(distances, fmt.Sprintf("{A:%s B:%s Cost:%v}", d.A, d.B, d.Cost))
	}
	return fmt.Sprintf("{Limit:%v Ramp:%v Hold:%v Stay:%v Far:%v}",
		r.UtilizationLimit, r.RecoveryRamp, r.RecoveryDelay, r.RegionalClasses, distances)
}
