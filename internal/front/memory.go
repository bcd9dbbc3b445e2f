package front

import "context"

// Memory is the store's place for what must outlive all routers, or be agreed by them. Its methods are safe for
// concurrent use. After an error a write may still happen, also later.
type Memory interface {
	// Read returns the newest value of a key, nil when there is none, and the end of the memory for WriteAt.
	Read(ctx context.Context, key string) (value []byte, end int64, err error)
	// Write replaces the value of a key.
	Write(ctx context.Context, key string, value []byte) error
	// WriteAt replaces the value of a key if nothing was written to any key since the memory ended at end, and reports
	// whether it did.
	WriteAt(ctx context.Context, key string, value []byte, end int64) (written bool, err error)
}
