// Package lavengine connects package lavorder to the model engine beside this process and to the other side processes.
package lavengine
