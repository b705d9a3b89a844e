// Package lavengine connects lavorder to the model engine beside this process and to the rest of the fleet.
package lavengine
