// Package nginx reads nginx configuration files and turns their upstream, server and location blocks into an operator's
// file. What it can't convert it reports, with the line.
//
// spurwinchctl calls Command. The package keeps nothing; no file that an include names is read.
package nginx
