/* Length-counted strings: borrowed views (cs_str_t) and growable buffers (cs_buf_t). */
#ifndef CS_STR_H
#define CS_STR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A borrowed byte string; not NUL-terminated unless documented at the function. */
typedef struct {
	const char *p;
	size_t n;
} cs_str_t;

/* A growable byte string that owns its memory; p[n] is always NUL when p is not NULL. */
typedef struct {
	char *p;
	size_t n;
	size_t cap;
} cs_buf_t;

/* Arguments of a cs_str_t for the printf conversion "%.*s". */
#define CS_STR_ARG(s) (int)(s).n, (s).p

/* A view of a NUL-terminated string; NULL gives the empty view. */
cs_str_t cs_str (const char *z);
cs_str_t cs_str_n (const char *p, size_t n);
bool cs_str_eq (cs_str_t a, cs_str_t b);
bool cs_str_is (cs_str_t a, const char *z);
bool cs_str_starts (cs_str_t a, const char *prefix);
/* Like cs_str_starts, without regard to the case of ASCII letters. */
bool cs_str_starts_nocase (cs_str_t a, const char *prefix);
/* Whether name equals one of the n strings of list. */
bool cs_str_in_list (const char *const *list, size_t n, const char *name);
/* Returns a NUL-terminated heap copy that the caller frees. Never NULL. */
char *cs_str_dup (cs_str_t s);
/* Parses the whole view as an unsigned decimal number; on failure returns false and leaves
 * *out unchanged. */
bool cs_str_u64 (cs_str_t s, uint64_t *out);
/* True if the bytes are well-formed UTF-8. */
bool cs_str_is_utf8 (cs_str_t s);
/* Returns the part of *rest before the first sep and advances *rest past that sep. Without a
 * sep, returns all of *rest and leaves it empty. */
cs_str_t cs_str_split (cs_str_t *rest, char sep);

enum {
	CS_MAPPED_BYTES = 64 << 10 /* the allocator maps blocks from this size on their own */
};

void cs_buf_init (cs_buf_t *b);
void cs_buf_finish (cs_buf_t *b);
void cs_buf_clear (cs_buf_t *b);
/* Makes room for extra more bytes and a NUL. */
void cs_buf_reserve (cs_buf_t *b, size_t extra);
/* Makes the buffer a block that is mapped on its own, of which only what is used counts as memory.
 * For a buffer that grows: the smaller blocks that it outgrows would stay in the heap. */
void cs_buf_reserve_mapping (cs_buf_t *b);
void cs_buf_add (cs_buf_t *b, cs_str_t s);
void cs_buf_addz (cs_buf_t *b, const char *z);
void cs_buf_printf (cs_buf_t *b, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
/* Removes the first n bytes, or all if there are fewer. A large buffer that is then mostly empty
 * releases memory. */
void cs_buf_consume (cs_buf_t *b, size_t n);
cs_str_t cs_buf_str (const cs_buf_t *b);

/* Makes the heap return large blocks to the system as soon as they are freed: glibc otherwise
 * moves its threshold up with the first one, and buffers that grew keep their memory for good. */
void cs_alloc_init (void);
/* calloc and realloc that abort the program if memory cannot be allocated. */
void *cs_alloc (size_t size); /* zeroed */
void *cs_realloc (void *p, size_t size);
/* Grows the array items, of *cap elements of size bytes each, to at least need elements.
 * Returns the array, which may have moved; updates *cap. */
void *cs_grow (void *items, size_t *cap, size_t need, size_t size);

#endif
