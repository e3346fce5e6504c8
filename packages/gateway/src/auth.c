#include "auth.h"

#include <sodium.h>
#include <string.h>
#include <strings.h>

enum {
	DIGEST_BYTES = 32,
	DIGEST_HEX_BYTES = 2 * DIGEST_BYTES
};

/* Returns the token after the scheme "Bearer " (any case); empty if there is none. */
static cs_str_t
bearer_token (cs_str_t value)
{
	static const char scheme[] = "Bearer ";
	size_t n = sizeof scheme - 1;
	if (value.n <= n || strncasecmp (value.p, scheme, n) != 0)
		return cs_str ("");
	return cs_str_n (value.p + n, value.n - n);
}

const char *
cs_auth_find_principal (const cs_token_t *tokens, size_t n, cs_str_t authorization)
{
	unsigned char digest[DIGEST_BYTES];
	char hex[DIGEST_HEX_BYTES + 1];
	const char *name = NULL;
	cs_str_t token = bearer_token (authorization);
	if (!token.n)
		return NULL;
	crypto_generichash (digest, sizeof digest, (const unsigned char *)token.p, token.n, NULL,
			    0);
	sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
	for (size_t i = 0; i < n; i++) {
		bool has_digest_length = strlen (tokens[i].digest) == DIGEST_HEX_BYTES;
		if (has_digest_length && !sodium_memcmp (tokens[i].digest, hex, DIGEST_HEX_BYTES))
			name = tokens[i].name;
	}
	return name;
}
