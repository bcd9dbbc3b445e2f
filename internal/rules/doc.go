// Package rules takes single rules out of other packages and checks that a test of the
// rule's own package fails without each. testdata has a list of rules for each package.
package rules
