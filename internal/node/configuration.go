package node

import "spurwinch/internal/config"

// startConfiguration is the configuration that a process starts with.
type startConfiguration struct {
	operatorPath string
	operator     config.Operator
	nodePath     string // GW_CONFIG
	node         config.Node
	hasPlatform  bool   // the platform's front is set up
	listen       string // the first front's address; a hot restart uses it to find the predecessor
	admin        string // address of the admin server; empty: none
}

// readConfiguration reads the operator's file, if there is one. From the environment it reads the path of the
// platform's configuration and the admin address. For a node with the platform's front, readNode completes the
// configuration.
func readConfiguration(getenv func(string) string, operatorPath string) (startConfiguration, error) {
	configuration := startConfiguration{
		operatorPath: operatorPath,
		nodePath:     getenv("GW_CONFIG"),
		admin:        getenv("GW_MGMT"),
	}
	if operatorPath != "" {
		operator, err := config.ReadOperator(operatorPath)
		if err != nil {
			return configuration, err
		}
		configuration.operator = operator
	}
	if len(configuration.operator.Listeners) > 0 {
		configuration.listen = configuration.operator.Listeners[0].Addr
	}
	return configuration, nil
}

// readNode reads the platform's configuration if the node has the platform's front.
func (c *startConfiguration) readNode(getenv func(string) string) error {
	c.hasPlatform = c.nodePath != "" || c.operatorPath == ""
	if !c.hasPlatform {
		return nil
	}
	node, err := config.ReadNode(getenv)
	if err != nil {
		return err
	}
	c.node = node
	c.listen = node.Listen
	c.admin = node.ManagementAddr
	return nil
}
