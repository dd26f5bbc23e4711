package fold

import (
	"context"
	"io"
)

// BodyDecoder reads and decodes the bodies of callers' requests within the memory that is available for them.
type BodyDecoder interface {
	// Decode reads a body of at most limit bytes, or of any size if limit is 0, and passes it to decode, which must not keep
	// the text. The declared size of the body is -1 if it is not known. The context is that of the request. An Overload error
	// means that there is no memory for the body.
	Decode(ctx context.Context, body io.Reader, size, limit int64, decode func(text []byte) error) error
}
