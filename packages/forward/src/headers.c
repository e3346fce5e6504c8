#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "forward.h"

enum {
	MIN_BLOCK_BYTES = 512,
	MAX_BLOCK_BYTES = 4 << 10
};

struct cs_headers_block {
	cs_headers_block_t *next;
	size_t used;
	size_t size;
	char bytes[];
};

static char *
allocate (cs_headers_t *h, size_t n)
{
	cs_headers_block_t *b = h->blocks;
	if (!b || b->size - b->used < n) {
		size_t size = b ? b->size * 2 : MIN_BLOCK_BYTES;
		size = size < MAX_BLOCK_BYTES ? size : MAX_BLOCK_BYTES;
		size = size > n ? size : n;
		b = cs_alloc (sizeof *b + size);
		b->size = size;
		b->next = h->blocks;
		h->blocks = b;
	}
	b->used += n;
	return b->bytes + b->used - n;
}

static const char *
copy (cs_headers_t *h, cs_str_t text)
{
	char *p = allocate (h, text.n + 1);
	memcpy (p, text.p, text.n);
	p[text.n] = 0;
	return p;
}

void
cs_headers_add (cs_headers_t *h, cs_str_t name, cs_str_t value)
{
	h->items = cs_grow (h->items, &h->cap, h->n + 1, sizeof *h->items);
	h->items[h->n++] = (cs_header_t){copy (h, name), copy (h, value)};
}

cs_str_t
cs_headers_find (const cs_headers_t *h, const char *name)
{
	for (size_t i = 0; i < h->n; i++)
		if (!strcasecmp (h->items[i].name, name))
			return cs_str (h->items[i].value);
	return cs_str (NULL);
}

void
cs_headers_clear (cs_headers_t *h)
{
	while (h->blocks) {
		cs_headers_block_t *next = h->blocks->next;
		free (h->blocks);
		h->blocks = next;
	}
	free (h->items);
	memset (h, 0, sizeof *h);
}

/* Headers of one connection, and those that the HTTP library sets for each message by itself. */
bool
cs_header_is_hop_by_hop (cs_str_t name)
{
	static const char *const hop_by_hop[] = {
		"Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authenticate", "TE",
		"Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",     "Expect",
	};
	for (size_t i = 0; i < sizeof hop_by_hop / sizeof *hop_by_hop; i++)
		if (strlen (hop_by_hop[i]) == name.n &&
		    !strncasecmp (hop_by_hop[i], name.p, name.n))
			return true;
	return false;
}
