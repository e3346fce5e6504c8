#include "cs/load_board.h"

#include <sodium.h>
#include <stdlib.h>

#include "cs/hash.h"

/* A value is the check of the entries, then for each its target, running, waiting, delay and age,
 * all in base64. Numbers are least significant byte first. */
enum {
	CHECK_BYTES = 2, /* so that truncated values are noticed */
	TARGET_BYTES = 4,
	ENTRY_BYTES = 8,
	MAX_BYTES = 6000, /* of a value, as text */
	DELAY_UNIT_MS = 4,
	AGE_UNIT_MS = 8,
	SAME_MS = 4 * AGE_UNIT_MS, /* ages are rounded twice on their way, and messages take time */
	BYTE_BITS = 8,
	MAX_BYTE = 255
};

uint64_t
cs_load_target (const char *id, uint64_t fence)
{
	return (uint32_t)cs_rendezvous (cs_hash (cs_str (id)), fence);
}

void
cs_load_board_init (cs_load_board_t *b)
{
	b->entries = NULL;
}

static void
remove_entry (cs_load_board_t *b, cs_load_t *e)
{
	HASH_DEL (b->entries, e);
	free (e);
}

void
cs_load_board_finish (cs_load_board_t *b)
{
	cs_load_t *e, *next;
	HASH_ITER (hh, b->entries, e, next) {
		remove_entry (b, e);
	}
}

static cs_load_t *
find (const cs_load_board_t *b, uint64_t target)
{
	cs_load_t *e;
	HASH_FIND (hh, b->entries, &target, sizeof target, e);
	return e;
}

static uint8_t
saturated (int64_t value)
{
	return value < 0 ? 0 : value > MAX_BYTE ? MAX_BYTE : (uint8_t)value;
}

/* True if `seen` is what e is, as another daemon tells it. */
static bool
is_told_again (const cs_load_t *e, const cs_load_t *seen)
{
	return !seen->is_own && seen->seen_ms - e->seen_ms <= SAME_MS &&
	       saturated (e->running) == saturated (seen->running) &&
	       saturated (e->waiting) == saturated (seen->waiting) &&
	       saturated (e->delay_ms / DELAY_UNIT_MS) ==
		       saturated (seen->delay_ms / DELAY_UNIT_MS);
}

bool
cs_load_board_record (cs_load_board_t *b, const cs_load_t *seen)
{
	cs_load_t *e = find (b, seen->target);
	if (e && (e->seen_ms > seen->seen_ms || (e->seen_ms == seen->seen_ms && !seen->is_own) ||
		  is_told_again (e, seen)))
		return false;
	if (!e) {
		e = cs_alloc (sizeof *e);
		e->target = seen->target;
		HASH_ADD (hh, b->entries, target, sizeof e->target, e);
	}
	e->running = seen->running;
	e->waiting = seen->waiting;
	e->delay_ms = seen->delay_ms;
	e->is_own = seen->is_own;
	e->is_new = true;
	e->seen_ms = seen->seen_ms;
	return true;
}

static bool
is_old (const cs_load_t *e, int64_t now_ms)
{
	return now_ms - e->seen_ms > CS_LOAD_MAX_AGE_MS;
}

const cs_load_t *
cs_load_board_find (const cs_load_board_t *b, int64_t now_ms, uint64_t target)
{
	const cs_load_t *e = find (b, target);
	return e && !is_old (e, now_ms) ? e : NULL;
}

const cs_load_t *
cs_load_board_take_new (cs_load_board_t *b, int64_t now_ms, uint64_t target)
{
	cs_load_t *e = find (b, target);
	if (!e || !e->is_new || is_old (e, now_ms))
		return NULL;
	e->is_new = false;
	return e;
}

void
cs_load_board_remove_old (cs_load_board_t *b, int64_t now_ms)
{
	cs_load_t *e, *next;
	HASH_ITER (hh, b->entries, e, next) {
		if (is_old (e, now_ms))
			remove_entry (b, e);
	}
}

static uint16_t
check_of (const uint8_t *entries, size_t n)
{
	return (uint16_t)cs_hash (cs_str_n ((const char *)entries, n));
}

/* Ages are rounded up: an entry must not become newer on its way. */
static void
pack (uint8_t *out, const cs_load_t *e, int64_t now_ms)
{
	for (size_t i = 0; i < TARGET_BYTES; i++)
		out[i] = (uint8_t)(e->target >> (BYTE_BITS * i));
	out[TARGET_BYTES] = saturated (e->running);
	out[TARGET_BYTES + 1] = saturated (e->waiting);
	out[TARGET_BYTES + 2] = saturated (e->delay_ms / DELAY_UNIT_MS);
	out[TARGET_BYTES + 3] = saturated ((now_ms - e->seen_ms + AGE_UNIT_MS - 1) / AGE_UNIT_MS);
}

static cs_load_t
unpack (const uint8_t *in, int64_t now_ms)
{
	cs_load_t e = {.running = in[TARGET_BYTES],
		       .waiting = in[TARGET_BYTES + 1],
		       .delay_ms = (uint16_t)(in[TARGET_BYTES + 2] * DELAY_UNIT_MS),
		       .seen_ms = now_ms - (int64_t)in[TARGET_BYTES + 3] * AGE_UNIT_MS};
	for (size_t i = 0; i < TARGET_BYTES; i++)
		e.target |= (uint64_t)in[i] << (BYTE_BITS * i);
	return e;
}

static int
compare_newest_first (const void *a, const void *b)
{
	const cs_load_t *x = *(cs_load_t *const *)a;
	const cs_load_t *y = *(cs_load_t *const *)b;
	return (x->seen_ms < y->seen_ms) - (x->seen_ms > y->seen_ms);
}

/* Length of the text for n entries. */
static size_t
text_bytes (size_t n)
{
	return sodium_base64_ENCODED_LEN (CHECK_BYTES + n * ENTRY_BYTES,
					  sodium_base64_VARIANT_URLSAFE_NO_PADDING) -
	       1;
}

static void
add_text (cs_buf_t *out, const uint8_t *bytes, size_t n)
{
	size_t length = sodium_base64_ENCODED_LEN (n, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	cs_buf_reserve (out, length);
	sodium_bin2base64 (out->p + out->n, length, bytes, n,
			   sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	out->n += length - 1;
}

void
cs_load_board_encode (cs_load_board_t *b, int64_t now_ms, int64_t since_ms, bool only_own,
		      size_t max_bytes, cs_buf_t *out)
{
	size_t n = 0;
	cs_load_t **chosen = cs_alloc ((HASH_COUNT (b->entries) + 1) * sizeof (cs_load_t *));
	for (cs_load_t *e = b->entries; e; e = e->hh.next)
		if (e->seen_ms >= since_ms && !is_old (e, now_ms) && (e->is_own || !only_own))
			chosen[n++] = e;
	qsort ((void *)chosen, n, sizeof (cs_load_t *), compare_newest_first);
	if (max_bytes > MAX_BYTES)
		max_bytes = MAX_BYTES;
	while (n && text_bytes (n) > max_bytes)
		n--;
	if (n) {
		uint8_t *bytes = cs_alloc (CHECK_BYTES + n * ENTRY_BYTES);
		for (size_t i = 0; i < n; i++) {
			pack (bytes + CHECK_BYTES + i * ENTRY_BYTES, chosen[i], now_ms);
			chosen[i]->is_own &= !only_own;
		}
		uint16_t check = check_of (bytes + CHECK_BYTES, n * ENTRY_BYTES);
		bytes[0] = (uint8_t)check;
		bytes[1] = (uint8_t)(check >> BYTE_BITS);
		add_text (out, bytes, CHECK_BYTES + n * ENTRY_BYTES);
		free (bytes);
	}
	free ((void *)chosen);
}

static bool
is_whole (const uint8_t *bytes, size_t n)
{
	if (n < CHECK_BYTES + ENTRY_BYTES || (n - CHECK_BYTES) % ENTRY_BYTES ||
	    (bytes[0] | bytes[1] << BYTE_BITS) != check_of (bytes + CHECK_BYTES, n - CHECK_BYTES))
		return false;
	for (size_t i = CHECK_BYTES; i < n; i += ENTRY_BYTES)
		if (bytes[i + TARGET_BYTES + 3] * AGE_UNIT_MS > CS_LOAD_MAX_AGE_MS + AGE_UNIT_MS)
			return false;
	return true;
}

bool
cs_load_board_merge (cs_load_board_t *b, int64_t now_ms, cs_str_t text)
{
	uint8_t bytes[MAX_BYTES];
	size_t n = 0;
	const char *end;
	if (text.n > MAX_BYTES ||
	    sodium_base642bin (bytes, sizeof bytes, text.p, text.n, NULL, &n, &end,
			       sodium_base64_VARIANT_URLSAFE_NO_PADDING) ||
	    end != text.p + text.n || !is_whole (bytes, n))
		return false;
	for (size_t i = CHECK_BYTES; i < n; i += ENTRY_BYTES) {
		cs_load_t e = unpack (bytes + i, now_ms);
		cs_load_board_record (b, &e);
	}
	return true;
}
