package lavtable

import (
	"testing"

	"github.com/matryer/is"
)

// TestIDsAreSortedAndDeleteIfRemovesMatches guards against ids in the random order of a map, and against a deletion of
// other rows than the matching ones.
func TestIDsAreSortedAndDeleteIfRemovesMatches(t *testing.T) {
	is := is.New(t)
	table := New[string, int]()
	table.Put("b", 2)
	table.Put("a", 1)
	is.Equal(table.IDs(), []string{"a", "b"})
	is.Equal(table.DeleteIf(func(_ string, row int) bool { return row == 1 }), 1)
	_, ok := table.Get("a")
	is.True(!ok)
}
