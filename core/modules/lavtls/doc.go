// Package lavtls builds mutual TLS configurations from settings and validates the settings.
package lavtls
