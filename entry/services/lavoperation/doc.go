// Package lavoperation holds the verbs of the operators' interface: configuration, patches, fleet, roll-outs and calls in doubt.
package lavoperation
