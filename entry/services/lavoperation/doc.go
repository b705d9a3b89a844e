// Package lavoperation implements the operators' interface: configuration, patches, fleet, roll-outs and calls in
// doubt.
package lavoperation
