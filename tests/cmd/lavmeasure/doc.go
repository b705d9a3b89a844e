// Command lavmeasure runs the measurements and prints all their rows as one table.
package main
