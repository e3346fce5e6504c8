/* Which connections to a server may carry further calls.
 *
 * Load: a connection may go silent: it stays open, and nothing that is sent on it is answered. The
 * others that were open by then may be as silent. Tried one after the other each costs a time-out,
 * and one that is answered says nothing of the rest. So a call without an answer begins a
 * generation: connections of earlier ones get no further calls, and calls that are pending there
 * are made again at once if they may be. A server that answers nobody costs one connection for each
 * pending call and failure, not one for each idle connection. */
#ifndef CS_CONNECTION_TRUST_H
#define CS_CONNECTION_TRUST_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	uint32_t generation; /* of the connections that are opened now */
} cs_connection_trust_t;

/* Records that a call on a connection of this generation had no answer, or a later answer than the
 * same call on a newer connection. True if that begins a generation: connections of the present one
 * have not been distrusted yet. */
bool cs_connection_trust_lose (cs_connection_trust_t *t, uint32_t generation);
/* True if a pending call of this generation should be made again on a new connection. */
bool cs_connection_trust_is_lost (const cs_connection_trust_t *t, uint32_t generation);

#endif
