// Package nginx reads nginx configuration files and converts their upstream, server and location blocks to an
// operator's file. It reports each directive that it can't convert, with the line.
//
// spurwinchctl calls Command. The package keeps no state and does not read the files that include directives name.
package nginx
