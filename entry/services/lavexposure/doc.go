// Package lavexposure pools the evidence on versions at the owner of each model and applies the owner's decisions.
//
// Every host reports its counts to the owner of each model. The owner runs the sequential tests and answers with
// the pooled counts, the share that each version under roll-out may take, and the stopped versions. It also
// submits the configuration patch that withdraws a stopped version permanently.
package lavexposure
