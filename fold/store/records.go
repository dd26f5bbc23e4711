package store

import (
	"context"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/owner"
)

// Prefixes of table keys, the key of the newest configuration revision and the limits of Scan.
const (
	EntryPrefix  = "entry/"
	PoolPrefix   = "pool/"
	OncePrefix   = "once/"
	JobPrefix    = "job/"
	IndexPrefix  = "jobid/"
	LimitPrefix  = "limit/"
	RackPrefix   = "rack/"
	KeyPrefix    = "key/"
	RevPrefix    = "config/rev/"
	HeadKey      = "config/head"
	rowsPerScan  = 1000
	maxScanPages = 1000
)

// Scan reads and decodes all rows with a prefix.
func Scan[T any](ctx context.Context, t fold.Table, prefix string) ([]owner.Versioned[T], error) {
	var all []owner.Versioned[T]
	after := ""
	for range maxScanPages {
		rows, err := t.Scan(ctx, prefix, after, rowsPerScan)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			v, err := codec.Decode[T](row.Value)
			if err != nil {
				return nil, fold.Invalid.Wrap(err, "row %s", row.Key)
			}
			all = append(all, owner.Versioned[T]{Key: row.Key, Version: row.Version, Value: v})
			after = row.Key
		}
		if len(rows) < rowsPerScan {
			return all, nil
		}
	}
	return nil, fold.Refuse(fold.TooLarge, "remove old rows", "more than %d rows under %s", rowsPerScan*maxScanPages, prefix)
}

// Get reads and decodes one row.
func Get[T any](ctx context.Context, t fold.Table, key string) (owner.Versioned[T], error) {
	row, err := t.Get(ctx, key)
	if err != nil {
		return owner.Versioned[T]{}, err
	}
	v, err := codec.Decode[T](row.Value)
	return owner.Versioned[T]{Key: key, Version: row.Version, Value: v}, err
}

// EncodePut encodes a record as the write of a row.
func EncodePut[T any](key string, v T) (fold.Put, error) {
	b, err := codec.Encode(v)
	return fold.Put{Key: key, Value: b}, err
}

// Replace writes one row if the row still has the given version.
func Replace[T any](ctx context.Context, t fold.Table, key string, version int64, v T) (int64, error) {
	put, err := EncodePut(key, v)
	if err != nil {
		return 0, err
	}
	return t.Commit(ctx, fold.Txn{Checks: []fold.Check{{Key: key, Version: version}}, Puts: []fold.Put{put}})
}
