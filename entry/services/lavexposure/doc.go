// Package lavexposure pools the evidence on versions at the owners of their models and follows what they decide.
//
// Every host reports its counts to the owner of each model. The owner runs the
// sequential tests, answers with the pooled counts, the share that each version
// may take and the versions that it has stopped, and submits the patch that
// makes a stop durable.
package lavexposure
