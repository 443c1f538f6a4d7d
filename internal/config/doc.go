// Package config reads the configuration of a node. It checks each file completely before any of it is used:
//
//   - the platform's GW_* variables and the config.json that GW_CONFIG names (ReadNode, ReloadNode),
//   - the operator's file, with the front ends and clusters in addition to the platform's own (ReadOperator),
//   - the list of nodes of a fleet, which is the same file on all of its nodes (ReadFleetList),
//   - the policy document of a fleet, which operators write and the log stores (ReadPolicy).
//
// The callers are internal/node, at its start and at each reload, spurwinchctl, for its checks and calls, and the
// laboratory, which writes such files. The caller owns the returned values; the package keeps no state. Its only I/O is
// to read files.
//
// The keys of files are the words of the operator documentation. Only this package maps them to the terms of the code:
// the tags of the file types do so, and policyFile.document for a policy document.
//
// If a file is invalid, the functions return an error: a *FileError for config.json, and for the other files
// tomlfile.Faults, which holds every fault with file, line and key. The messages name the invalid value and what is
// allowed.
package config
