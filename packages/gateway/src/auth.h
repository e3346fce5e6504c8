/* Bearer tokens, compared by their BLAKE2b-256 digests in constant time. */
#ifndef CS_GATEWAY_AUTH_H
#define CS_GATEWAY_AUTH_H

#include "cs/settings.h"
#include "cs/str.h"

/* Returns the name of the entry of tokens that matches the value "Bearer TOKEN" of an
 * Authorization header; NULL if none does. The name belongs to tokens. All n entries are
 * compared each time, so that the duration does not reveal which one matches. */
const char *cs_auth_find_principal (const cs_token_t *tokens, size_t n, cs_str_t authorization);

#endif
