/* Bodies in chunks. */
#include "cs/http_syntax.h"

enum {
	SIZE,
	EXTENSION,
	SIZE_LF,
	DATA,
	DATA_CR,
	DATA_LF,
	TRAILER,      /* at the start of a line behind the last chunk */
	TRAILER_NAME, /* within the name */
	TRAILER_VALUE,
	TRAILER_LF,
	LAST_LF,
	BAD,
	END,
	MAX_SIZE_DIGITS = 15
};

static int
digit_value (unsigned char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c |= 0x20;
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static int
after_size (cs_http_chunks_t *c, unsigned char byte)
{
	int digit = digit_value (byte);
	if (digit < 0) {
		if (!c->digits)
			return BAD;
		return byte == '\r' ? SIZE_LF : byte == ';' || byte == ' ' ? EXTENSION : BAD;
	}
	c->left = c->left << 4 | (unsigned)digit;
	return ++c->digits <= MAX_SIZE_DIGITS ? SIZE : BAD;
}

/* Which bytes may be part of a text that is not kept: an extension or the value of a trailer. */
static bool
is_text_byte (unsigned char c)
{
	return (c >= ' ' && c != 127) || c == '\t';
}

static int
after_trailer_start (unsigned char byte)
{
	cs_str_t name, value;
	const char line[] = {(char)byte, ':'};
	if (byte == '\r')
		return LAST_LF;
	return cs_http_header_line (cs_str_n (line, 2), &name, &value) ? TRAILER_NAME : BAD;
}

static int
next_state (cs_http_chunks_t *c, unsigned char byte)
{
	switch (c->state) {
	case SIZE:
		return after_size (c, byte);
	case EXTENSION:
		return byte == '\r' ? SIZE_LF : is_text_byte (byte) ? EXTENSION : BAD;
	case SIZE_LF:
		return byte != '\n' ? BAD : c->left ? DATA : TRAILER;
	case DATA_CR:
		return byte == '\r' ? DATA_LF : BAD;
	case DATA_LF:
		c->digits = 0;
		return byte == '\n' ? SIZE : BAD;
	case TRAILER:
		return after_trailer_start (byte);
	case TRAILER_NAME:
		return byte == ':'    ? TRAILER_VALUE
		       : byte == '\r' ? BAD
				      : after_trailer_start (byte);
	case TRAILER_VALUE:
		return byte == '\r' ? TRAILER_LF : is_text_byte (byte) ? TRAILER_VALUE : BAD;
	case TRAILER_LF:
		return byte == '\n' ? TRAILER : BAD;
	case LAST_LF:
		return byte == '\n' ? END : BAD;
	default:
		return BAD;
	}
}

cs_http_chunks_result_t
cs_http_chunks_next (cs_http_chunks_t *c, cs_str_t *rest, cs_str_t *data)
{
	while (rest->n && c->state != BAD && c->state != END) {
		if (c->state == DATA) {
			size_t n = c->left < rest->n ? (size_t)c->left : rest->n;
			*data = cs_str_n (rest->p, n);
			*rest = cs_str_n (rest->p + n, rest->n - n);
			c->left -= n;
			c->overhead = 0;
			c->state = c->left ? DATA : DATA_CR;
			return CS_HTTP_CHUNKS_DATA;
		}
		c->state = ++c->overhead > CS_HTTP_CHUNKS_OVERHEAD_BYTES
				   ? BAD
				   : next_state (c, (unsigned char)*rest->p);
		*rest = cs_str_n (rest->p + 1, rest->n - 1);
	}
	return c->state == BAD   ? CS_HTTP_CHUNKS_BAD
	       : c->state == END ? CS_HTTP_CHUNKS_END
				 : CS_HTTP_CHUNKS_MORE;
}
