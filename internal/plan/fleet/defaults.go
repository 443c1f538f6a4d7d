package fleet

import (
	"fmt"
	"time"

	"spurwinch/internal/config/tomlfile"
)

// milliseconds converts a number of milliseconds to a Duration.
func milliseconds(n float64) Duration { return Duration(n * float64(time.Millisecond)) }

// setDefaults sets the values that the file leaves out. Parse calls it between decoding and validation. Fill treats a
// zero as a missing value. Where zero is a valid value, setDefaults checks whether the file has the key.
func (f *Fleet) setDefaults(file *tomlfile.File) {
	f.setFleetDefaults()
	for i := range f.Zones {
		if !file.Has(fmt.Sprintf("centre.%d.clients", i)) { // a file may set a share of 0
			f.Zones[i].Clients = 1
		}
	}
	for i := range f.MachineKinds {
		f.MachineKinds[i].setDefaults()
	}
	for i := range f.NodePools {
		tomlfile.Fill(&f.NodePools[i].Descriptors, 1024)
	}
	for i := range f.Classes {
		f.Classes[i].setDefaults()
	}
	for i := range f.Tenants {
		tomlfile.Fill(&f.Tenants[i].Share, 1)
		tomlfile.Fill(&f.Tenants[i].Usage, 1)
	}
}

// setFleetDefaults sets the defaults of the tables that occur once in a file.
func (f *Fleet) setFleetDefaults() {
	tomlfile.Fill(&f.General.ConnectionsPerCore, 10)
	tomlfile.Fill(&f.General.MessageWork, milliseconds(5))
	tomlfile.Fill(&f.General.MessageInterval, milliseconds(2000))
	tomlfile.Fill(&f.General.QuotaFraction, 0.9)
	tomlfile.Fill(&f.Network.SameZone, milliseconds(0.2))
	tomlfile.Fill(&f.Network.CrossZone, milliseconds(6))
	tomlfile.Fill(&f.Network.Client, milliseconds(0.7))
	tomlfile.Fill(&f.SlowStart.Fraction, 0.15)
	tomlfile.Fill(&f.SlowStart.WarmUp, milliseconds(24000))
	tomlfile.Fill(&f.SlowStart.OverloadMultiple, 4)
	tomlfile.Fill(&f.SlowStart.OverloadTime, milliseconds(2000))
	tomlfile.Fill(&f.LoadReports.Interval, milliseconds(200))
	tomlfile.Fill(&f.LoadReports.HealthCheckWork, milliseconds(4))
	tomlfile.Fill(&f.Clients.ReconnectMax, milliseconds(1000))
	tomlfile.Fill(&f.Clients.Backoff, milliseconds(100))
	tomlfile.Fill(&f.Clients.Pause, milliseconds(2000))
	tomlfile.Fill(&f.Discovery.Delay, milliseconds(2000))
	tomlfile.Fill(&f.Group.Size, 3)
}

func (k *MachineKind) setDefaults() {
	tomlfile.Fill(&k.Speed, 1)
	tomlfile.Fill(&k.Connections, 1000)
	tomlfile.Fill(&k.SetupQueue, 64)
}

func (c *Class) setDefaults() {
	tomlfile.Fill(&c.Share, 1)
	tomlfile.Fill(&c.Load, 1)
	tomlfile.Fill(&c.Lifetime, milliseconds(60000))
	tomlfile.Fill(&c.LoadChangeInterval, milliseconds(10000))
	tomlfile.Fill(&c.SetupWork, milliseconds(8))
	tomlfile.Fill(&c.SetupObjective, milliseconds(800))
	tomlfile.Fill(&c.Deadline, milliseconds(4800))
	tomlfile.Fill(&c.MessageObjective, milliseconds(150))
	tomlfile.Fill(&c.Priority, 1)
}
