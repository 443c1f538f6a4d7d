// Package review has no code. The folder holds the cases of an independent review: see REPORT.md.
package review
