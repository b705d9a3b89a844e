// Package lavchild runs programs of the project as child processes of a test. They are killed when the test process
// ends.
package lavchild
