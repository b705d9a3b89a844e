// Package lavtls makes mutual TLS configurations from settings and checks them.
package lavtls
