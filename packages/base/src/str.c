#include "cs/str.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
	MIN_CAP = 64,             /* bytes of the first allocation of a buffer */
	RETAINED_BYTES = 64 << 10 /* a buffer up to this capacity keeps its memory when bytes are
				     removed */
};

cs_str_t
cs_str (const char *z)
{
	return cs_str_n (z, z ? strlen (z) : 0);
}

cs_str_t
cs_str_n (const char *p, size_t n)
{
	cs_str_t s = {p ? p : "", n};
	return s;
}

bool
cs_str_eq (cs_str_t a, cs_str_t b)
{
	return a.n == b.n && (!a.n || !memcmp (a.p, b.p, a.n));
}

bool
cs_str_is (cs_str_t a, const char *z)
{
	return cs_str_eq (a, cs_str (z));
}

bool
cs_str_starts (cs_str_t a, const char *prefix)
{
	size_t n = strlen (prefix);
	return a.n >= n && !memcmp (a.p, prefix, n);
}

bool
cs_str_starts_nocase (cs_str_t a, const char *prefix)
{
	size_t n = strlen (prefix);
	return a.n >= n && !strncasecmp (a.p, prefix, n);
}

bool
cs_str_in_list (const char *const *list, size_t n, const char *name)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp (list[i], name))
			return true;
	return false;
}

char *
cs_str_dup (cs_str_t s)
{
	char *z = cs_alloc (s.n + 1);
	if (s.n)
		memcpy (z, s.p, s.n);
	return z;
}

bool
cs_str_u64 (cs_str_t s, uint64_t *out)
{
	uint64_t v = 0;
	if (!s.n)
		return false;
	for (size_t i = 0; i < s.n; i++) {
		unsigned d = (unsigned char)s.p[i] - '0';
		if (d > 9 || v > (UINT64_MAX - d) / 10)
			return false;
		v = v * 10 + d;
	}
	*out = v;
	return true;
}

/* Length of the well-formed UTF-8 sequence at p, of n > 0 bytes; 0 if there is none. */
static size_t
utf8_sequence_length (const unsigned char *p, size_t n)
{
	if (p[0] < 0x80)
		return 1;
	size_t len = p[0] >= 0xf0 ? 4 : p[0] >= 0xe0 ? 3 : 2;
	if (p[0] < 0xc2 || p[0] > 0xf4 || n < len)
		return 0;
	for (size_t i = 1; i < len; i++)
		if ((p[i] & 0xc0) != 0x80)
			return 0;
	if ((p[0] == 0xe0 && p[1] < 0xa0) || (p[0] == 0xed && p[1] > 0x9f) ||
	    (p[0] == 0xf0 && p[1] < 0x90) || (p[0] == 0xf4 && p[1] > 0x8f))
		return 0;
	return len;
}

bool
cs_str_is_utf8 (cs_str_t s)
{
	const unsigned char *p = (const unsigned char *)s.p;
	for (size_t i = 0; i < s.n;) {
		size_t step = utf8_sequence_length (p + i, s.n - i);
		if (!step)
			return false;
		i += step;
	}
	return true;
}

cs_str_t
cs_str_split (cs_str_t *rest, char sep)
{
	const char *at = rest->n ? memchr (rest->p, sep, rest->n) : NULL;
	cs_str_t head = *rest;
	if (!at) {
		rest->p += rest->n;
		rest->n = 0;
		return head;
	}
	head.n = (size_t)(at - rest->p);
	rest->p += head.n + 1;
	rest->n -= head.n + 1;
	return head;
}

void
cs_buf_init (cs_buf_t *b)
{
	b->p = NULL;
	b->n = 0;
	b->cap = 0;
}

void
cs_buf_finish (cs_buf_t *b)
{
	free (b->p);
	cs_buf_init (b);
}

void
cs_buf_clear (cs_buf_t *b)
{
	b->n = 0;
	if (b->p)
		b->p[0] = 0;
}

void
cs_buf_reserve (cs_buf_t *b, size_t extra)
{
	size_t need = b->n + extra + 1;
	if (need <= b->cap)
		return;
	size_t cap = b->cap ? b->cap : MIN_CAP;
	while (cap < need)
		cap *= 2;
	b->p = cs_realloc (b->p, cap);
	b->cap = cap;
}

void
cs_buf_reserve_mapping (cs_buf_t *b)
{
	if (b->cap < CS_MAPPED_BYTES)
		cs_buf_reserve (b, CS_MAPPED_BYTES);
}

void
cs_buf_add (cs_buf_t *b, cs_str_t s)
{
	cs_buf_reserve (b, s.n);
	if (s.n)
		memcpy (b->p + b->n, s.p, s.n);
	b->n += s.n;
	b->p[b->n] = 0;
}

void
cs_buf_addz (cs_buf_t *b, const char *z)
{
	cs_buf_add (b, cs_str (z));
}

void
cs_buf_printf (cs_buf_t *b, const char *format, ...)
{
	va_list ap;
	va_start (ap, format);
	int n = vsnprintf (NULL, 0, format, ap);
	va_end (ap);
	if (n < 0)
		return;
	cs_buf_reserve (b, (size_t)n);
	va_start (ap, format);
	vsnprintf (b->p + b->n, (size_t)n + 1, format, ap);
	va_end (ap);
	b->n += (size_t)n;
}

/* Returns the memory of a large buffer that has become mostly empty. */
static void
shrink (cs_buf_t *b)
{
	if (b->cap <= RETAINED_BYTES || b->n >= b->cap / 4)
		return;
	if (!b->n) {
		cs_buf_finish (b);
		return;
	}
	b->cap = b->n < RETAINED_BYTES / 2 ? RETAINED_BYTES : 2 * b->n;
	b->p = cs_realloc (b->p, b->cap);
}

void
cs_buf_consume (cs_buf_t *b, size_t n)
{
	if (n >= b->n) {
		cs_buf_clear (b);
	} else {
		memmove (b->p, b->p + n, b->n - n + 1);
		b->n -= n;
	}
	shrink (b);
}

cs_str_t
cs_buf_str (const cs_buf_t *b)
{
	return cs_str_n (b->p, b->n);
}
