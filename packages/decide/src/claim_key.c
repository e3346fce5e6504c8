#include <sodium.h>
#include <string.h>

#include "cs/claims.h"
#include "cs/hash.h"

/* Adds a length and the bytes, so that ("ab", "c") and ("a", "bc") differ. */
static void
add_part (cs_buf_t *b, cs_str_t part)
{
	uint64_t n = part.n;
	cs_buf_add (b, cs_str_n ((const char *)&n, sizeof n));
	cs_buf_add (b, part);
}

cs_claim_key_t
cs_claim_key (cs_str_t team, cs_str_t service, cs_str_t idempotency_key)
{
	cs_claim_key_t key;
	cs_buf_t b;
	cs_buf_init (&b);
	add_part (&b, team);
	add_part (&b, service);
	add_part (&b, idempotency_key);
	crypto_generichash (key.bytes, sizeof key.bytes, (const unsigned char *)b.p, b.n, NULL, 0);
	cs_buf_finish (&b);
	return key;
}

uint64_t
cs_claim_fingerprint (cs_str_t method, cs_str_t path, cs_str_t content_type, cs_str_t body)
{
	cs_buf_t b;
	cs_buf_init (&b);
	add_part (&b, method);
	add_part (&b, path);
	add_part (&b, content_type);
	add_part (&b, body);
	uint64_t h = cs_hash (cs_buf_str (&b));
	cs_buf_finish (&b);
	return h;
}

uint32_t
cs_claim_shard (const cs_claim_key_t *key, uint32_t shards)
{
	uint64_t h;
	memcpy (&h, key->bytes + CS_CLAIM_KEY_BYTES - sizeof h, sizeof h);
	return shards ? (uint32_t)(h % shards) : 0;
}

uint64_t
cs_claim_claimant (const Cs__Record *record)
{
	uint64_t claimant = 0;
	if (record->body_case == CS__RECORD__BODY_CLAIM)
		claimant = record->claim->claimant;
	else if (record->body_case == CS__RECORD__BODY_OUTCOME)
		claimant = record->outcome->claimant;
	return claimant ? claimant : record->incarnation;
}
