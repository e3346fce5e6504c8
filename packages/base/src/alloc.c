#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "cs/str.h"

static void *
abort_if_null (void *p)
{
	if (p)
		return p;
	fputs ("base: out of memory\n", stderr);
	abort ();
}

void
cs_alloc_init (void)
{
	mallopt (M_MMAP_THRESHOLD, CS_MAPPED_BYTES);
}

void *
cs_alloc (size_t size)
{
	return abort_if_null (calloc (1, size ? size : 1));
}

void *
cs_realloc (void *p, size_t size)
{
	return abort_if_null (realloc (p, size ? size : 1));
}

void *
cs_grow (void *items, size_t *cap, size_t need, size_t size)
{
	if (need <= *cap)
		return items;
	size_t n = *cap ? *cap : 8;
	while (n < need)
		n *= 2;
	*cap = n;
	return cs_realloc (items, n * size);
}
