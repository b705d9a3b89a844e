// Package lavchild runs programs of the project as processes of a test, which end with it.
package lavchild
