// Package config reads what a node is told, and checks it whole before any of it is used:
//
//   - the platform's GW_* variables and the config.json that GW_CONFIG names (ReadNode, ReloadNode),
//   - the operator's file, with the fronts and clusters beside the platform's own (ReadOperator),
//   - the list of nodes of a fleet, which is the same file at all of them (ReadFleetList),
//   - the policy document of a fleet, as the log and operators have it (ReadPolicy).
//
// Who calls it: internal/node at the start and at each reload, spurwinchctl for its checks and calls, and the
// laboratory, which writes such files. The caller owns what is returned; the package keeps nothing. It reads files and
// does no other I/O.
//
// Keys of files keep the words of the operators' pages. They are mapped to the terms of the code here and nowhere else:
// by the tags of the file types, and for a policy document by policyFile.document.
//
// A file that can't be used is an error with every fault in it: a *FileError for config.json, tomlfile.Faults, with
// file, line and key, for the others. The texts say what was found and what is wanted.
package config
