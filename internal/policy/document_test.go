package policy

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// validDocument returns a document that any fleet can apply.
func validDocument() *Document {
	return &Document{
		Attempts: 3, RetryAfter: time.Second,
		Classes: []Class{
			{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1, ServedByBase: true},
			{Name: "b", SetupObjective: time.Second, Deadline: 3 * time.Second},
		},
		Base: BasePolicy{Attempts: 1, Deadline: 2 * time.Second},
	}
}

// TestDocumentCheckNamesInvalidKey checks that Check finds faults in documents that no fleet can apply, and that the
// first fault names the invalid key.
func TestDocumentCheckNamesInvalidKey(t *testing.T) {
	if faults := validDocument().Check(); len(faults) > 0 {
		t.Fatalf("Check of a valid document: got faults %v, want none", faults)
	}
	distance := []RegionDistance{{A: "r", B: "s", Cost: 0}}
	for key, invalidate := range map[string]func(d *Document){
		"attempts":         func(d *Document) { d.Attempts = 5 },
		"come_again":       func(d *Document) { d.RetryAfter = -1 },
		"over_share_worth": func(d *Document) { d.OverQuotaPriority = 2 },
		"class":            func(d *Document) { d.Classes = nil },
		"class.1.name":     func(d *Document) { d.Classes[1].Name = "a" },
		"class.0.patience": func(d *Document) { d.Classes[0].Deadline = 0 },
		"class.1.aim":      func(d *Document) { d.Classes[1].SetupObjective = time.Hour },
		"class.0.worth":    func(d *Document) { d.Classes[0].Priority = -1 },
		"tenant.0.name":    func(d *Document) { d.Tenants = []Tenant{{}} },
		"ground":           func(d *Document) { d.Base = BasePolicy{} },
		"ground.attempts":  func(d *Document) { d.Base.Attempts = 4 },
		"ground.patience":  func(d *Document) { d.Base.Deadline = 5 * time.Second },
		"needs":            func(d *Document) { d.Requirements.MemoryMB = -1 },
		"plan.limit": func(d *Document) {
			d.Failover = &FailoverRules{UtilizationLimit: 2, RecoveryRamp: 0.2, RecoveryDelay: time.Second}
		},
		"plan.stay": func(d *Document) {
			d.Failover = &FailoverRules{
				UtilizationLimit: 0.8, RecoveryRamp: 0.2, RecoveryDelay: time.Second, RegionalClasses: []string{"x"},
			}
		},
		"far.0.cost": func(d *Document) {
			d.Failover = &FailoverRules{
				UtilizationLimit: 0.8, RecoveryRamp: 0.2, RecoveryDelay: time.Second, RegionDistances: distance,
			}
		},
	} {
		document := validDocument()
		invalidate(document)
		if faults := document.Check(); len(faults) == 0 || faults[0].Key != key {
			t.Errorf("Check: got faults %v, want the first one at %s", faults, key)
		}
	}
}

// TestProposeRejectsDocumentStricterThanBaseInUse checks that a document that forbids what a base policy allows is
// rejected while some member may still use that base policy, and is accepted once all members have a later one.
func TestProposeRejectsDocumentStricterThanBaseInUse(t *testing.T) {
	state := &State{}
	propose := func(document *Document) error {
		id := fmt.Sprint("c", state.LastNumber)
		next, err := state.Propose(id, state.Number, []byte("x"), document, Canary{})
		if err == nil {
			state = next
		}
		return err
	}
	if err := propose(validDocument()); err != nil {
		t.Fatal(err)
	}
	state = state.Commit(validDocument().Base, 0)
	strict := validDocument()
	strict.Classes[1].Deadline = 1500 * time.Millisecond
	strict.Base.Deadline = time.Second
	err := propose(strict)
	if err == nil || !strings.Contains(err.Error(), "patience of 2s may still be in use") {
		t.Errorf("Propose of a stricter document: got error %v, want that the base policy may still be in use", err)
	}
	var incompatible *IncompatibleBaseError
	if !errors.As(err, &incompatible) || incompatible.Number != 1 || incompatible.Class != "b" {
		t.Errorf("Propose of a stricter document: got error %#v, want base policy of number 1 and class b", err)
	}
	tighterBase := validDocument()
	tighterBase.Base.Deadline = time.Second
	if err := propose(tighterBase); err != nil {
		t.Fatal(err)
	}
	state = state.Commit(tighterBase.Base, 1) // some member may still have number 1
	if err := propose(strict); err == nil {
		t.Error("Propose of a stricter document while the old base policy may be in use: got no error, want one")
	}
	if err := propose(tighterBase); err != nil {
		t.Fatal(err)
	}
	state = state.Commit(tighterBase.Base, 2) // all members have at least number 2
	if err := propose(strict); err != nil {
		t.Errorf("Propose of a stricter document after all members left the old base policy: got error %v, want none",
			err)
	}
}
