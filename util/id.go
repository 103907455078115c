package util

import "github.com/google/uuid"

// NewID returns a random UUID.
func NewID() string {
	return uuid.NewString()
}
