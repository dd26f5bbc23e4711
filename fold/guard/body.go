package guard

import (
	"context"
	"errors"
	"io"

	"plantainfold.example/fold"
)

// Unlimited is a BodyDecoder without a limit on the memory of all bodies together.
type Unlimited struct{}

var _ fold.BodyDecoder = Unlimited{}

// Decode reads and decodes a body.
func (Unlimited) Decode(_ context.Context, body io.Reader, _, limit int64, decode func([]byte) error) error {
	if limit > 0 {
		body = io.LimitReader(body, limit+1)
	}
	text, err := io.ReadAll(body)
	if err != nil {
		return fold.Invalid.Wrap(err, "read the body")
	}
	if limit > 0 && int64(len(text)) > limit {
		return tooLarge(limit)
	}
	return decode(text)
}

func tooLarge(limit int64) error {
	return fold.Refuse(fold.TooLarge, "send a smaller job", "the body has more than %d bytes", limit)
}

// errClosed returns the error of a request whose connection was closed. Nobody receives an answer to it.
func errClosed() error {
	return fold.Invalid.New("the connection was closed before the body was complete")
}

// Decode reads a body within the memory for requests and decodes it. The memory of the body counts until its request is
// answered, because the decoded value may be as large.
func (g *Gate) Decode(ctx context.Context, body io.Reader, size, limit int64, decode func([]byte) error) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return Unlimited{}.Decode(ctx, body, size, limit, decode)
	}
	if limit == 0 {
		limit = g.maxBody
	}
	// A larger body would be refused again and again.
	if largest := g.ledger.largestBody(); largest > 0 {
		limit = min(limit, largest)
	}
	if limit > 0 && size > limit {
		return tooLarge(limit)
	}
	if !c.enter(Body) {
		return errClosed()
	}
	segments, total, err := g.read(c, body, size, limit)
	if err != nil {
		g.release(c)
		return err
	}
	g.mu.Lock()
	open := g.ledger.Enter(c.account, Answering, g.clock.Now())
	g.mu.Unlock()
	if !open {
		return errClosed()
	}
	c.unread = false
	g.decodes <- struct{}{}
	defer func() { <-g.decodes }()
	text := make([]byte, 0, total)
	for i, s := range segments {
		text = append(text, s...)
		segments[i] = nil
	}
	return decode(text)
}

// read reads a body of at most limit bytes in segments, each of which is reserved before it is allocated.
func (g *Gate) read(c *conn, body io.Reader, size, limit int64) (segments [][]byte, total int64, err error) {
	for {
		room := min(max(total, minSegment), maxSegment)
		if size >= 0 {
			// One byte more shows the end of the body without a further segment.
			room = min(room, size-total+1)
		}
		if limit > 0 {
			room = min(room, limit-total+1)
		}
		if verdict := g.reserve(c, room); verdict == Closed {
			return nil, 0, errClosed()
		} else if verdict == Refused {
			return nil, 0, fold.WithRetry(fold.Refuse(fold.Overload, "retry later", "the entry has no memory for the body; the job was not accepted"), retryAfter)
		}
		segment := make([]byte, room)
		n, err := fill(segment, body)
		segments = append(segments, segment[:n])
		total += int64(n)
		switch {
		case limit > 0 && total > limit:
			return nil, 0, tooLarge(limit)
		case errors.Is(err, io.EOF):
			return segments, total, nil
		case err != nil:
			return nil, 0, fold.Invalid.Wrap(err, "read the body")
		}
	}
}

// fill reads until the segment is full or the reader fails. Unlike io.ReadFull it returns the error of the reader, which tells
// the end of a body from a body that broke off.
func fill(segment []byte, from io.Reader) (int, error) {
	n := 0
	for n < len(segment) {
		m, err := from.Read(segment[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
